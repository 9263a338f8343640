#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
exec .venv/bin/python review/2/case.py
