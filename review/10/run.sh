#!/usr/bin/env bash
# Plays the case `open`; see claim.txt.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../lib-2/run.sh" open "$folder"
