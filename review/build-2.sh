#!/bin/sh
# Checks and compiles the stand-ins that the scripts of cases 6 to 10 start.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/support-2 tests/support/platform_settings.py
