"""Where the sources are; importing this makes them and the installed libraries importable.

Needs nothing but Python, since it is imported before the libraries are installed.
"""

import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
for folder in (os.path.join(ROOT, "target", "tools"), os.path.join(ROOT, "target", "deps"), ROOT):
    if os.path.isdir(folder) and folder not in sys.path:
        sys.path.insert(0, folder)
