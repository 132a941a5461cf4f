"""Installs the pinned libraries if needed and runs pytest on the tests, or on what its arguments name.

python3 -m tests
python3 -m tests tests/test_register.py -k undo
"""

import os
import sys

from .conftest import ROOT
from .libraries import install

install()
os.chdir(ROOT)
os.execv(
    sys.executable, [sys.executable, "-m", "pytest", "-q", "-o", "testpaths=tests", *sys.argv[1:]]
)
