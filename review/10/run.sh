#!/usr/bin/env bash
# Plays the case `promise`; see claim.txt.
folder=$(cd "$(dirname "$0")" && pwd)
exec "$folder/../lib-2/run.sh" promise "$folder"
