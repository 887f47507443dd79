#!/usr/bin/env bash
# Runs the case, without its disruption if TROUBLE=0, and writes record.txt in this folder.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
TROUBLE="${TROUBLE:-1}" exec python3 "$(dirname "${BASH_SOURCE[0]}")/case.py"
