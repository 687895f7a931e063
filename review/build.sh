#!/usr/bin/env bash
# The stand-ins of these cases are Python files that use the standard library
# only, so there is nothing to build; checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m py_compile common/*.py ./*/case.py
rm -rf common/__pycache__ ./*/__pycache__
