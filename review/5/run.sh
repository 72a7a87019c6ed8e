#!/bin/sh
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
cd "$(dirname "$0")"
exec timeout 115 python3 case.py
