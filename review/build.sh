#!/bin/sh
# Every stand-in of the cases is plain Python: this only compiles them.
set -eu
cd "$(dirname "$0")/.."
exec python3 -m compileall -q review
