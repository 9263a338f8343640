#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
exec .venv/bin/python review/3/case.py
