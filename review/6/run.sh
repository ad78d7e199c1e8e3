#!/usr/bin/env bash
# Plays the case `joined`; see claim.txt.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../lib-2/run.sh" joined "$folder"
