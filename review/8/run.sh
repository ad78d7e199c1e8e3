#!/usr/bin/env bash
# Plays the case `drain`; see claim.txt.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../lib-2/run.sh" drain "$folder"
