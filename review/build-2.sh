#!/bin/sh
# Compiles the stand-ins that the scripts of cases 4 and later start; they need only Python's standard library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q kit2 */case.py
