#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.."
PYTHONPATH="$PWD/review" exec python3 review/12/play.py
