#!/bin/sh
# TROUBLE=0 runs the same without the disruption. Exit status: 1 broken, 0 held, 2 could not run.
command -v python3 > /dev/null || { echo "could not run: python3 is missing"; exit 2; }
cd "$(dirname "$0")" && exec python3 -B case.py
