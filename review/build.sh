#!/usr/bin/env bash
# After the build of the deploy file: the stand-ins need nothing but its Python.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
