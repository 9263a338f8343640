#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python, compiled in place. The build of the deploy file comes first.
cd "$(dirname "$0")/.." || exit 1
for folder in review/rig2 review/6 review/7 review/8 review/9 review/10; do
    test ! -d "$folder" || .venv/bin/python -m compileall -q "$folder" || exit 1
done
