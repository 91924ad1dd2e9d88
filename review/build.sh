#!/bin/sh
# The stand-ins are plain Python of the standard library; building them is compiling them.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile stand_ins.py ./*/play.py
