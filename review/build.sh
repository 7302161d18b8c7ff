#!/usr/bin/env bash
# The stand-ins are plain Python scripts and need only the standard library: they are compiled as a check.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q harness.py 1 2 3 2>/dev/null || python3 -m py_compile harness.py
