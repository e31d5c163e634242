#!/bin/sh
# Prepares the stand-ins of the third review after the build of the deploy
# file. They are Python modules that need no packages beyond target/deps.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:packages/cicadafold/src:packages/cicadafold-schema/src:packages/cicadafold-standins/src:review/standins-3"
python3 -m compileall -q packages/cicadafold-standins/src/cicadafold_standins \
  review/standins-3
python3 -c "import cicadafold_standins.fleet.cell, review_cell"
