#!/usr/bin/env bash
# The stand-ins are plain Python scripts and need only the standard library: compiling them is a check.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile harness.py config_checks.py 1/case.py 2/case.py 3/case.py
