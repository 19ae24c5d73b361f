#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. They are Python with
# the standard library alone, so that only their byte code is made.
set -euo pipefail
cd "$(dirname "$0")"
exec python3 -m compileall -q support_3 11 12
