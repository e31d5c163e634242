#!/bin/sh
# Checks that the stand-ins of review/standins-2 can be loaded with the
# libraries of the deploy file's build; they are Python and need no build of
# their own.
set -eu
cd "$(dirname "$0")"
PYTHONPATH=../target/deps:standins-2 PYTHONDONTWRITEBYTECODE=1 \
  python3 -c "import platform_cell, platform_store, platform_workers"
