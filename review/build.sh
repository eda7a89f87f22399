#!/bin/sh
# Compiles the stand-ins and the cases; they use nothing but Python's standard library.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
