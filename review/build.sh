#!/bin/sh
# Builds what the scripts of the cases start besides the programs of the deploy file: review/standins.py and the
# scripts themselves, which need nothing but Python's standard library. Here that is a check that they compile.
cd "$(dirname "$0")" || exit 2
for file in standins.py */case.py; do
    python3 -c "import sys; compile(open(sys.argv[1], encoding='utf-8').read(), sys.argv[1], 'exec')" "$file" || exit 1
done
