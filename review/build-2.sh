#!/usr/bin/env bash
# Builds what the scripts of the cases 4 and up start: their clients and stand-ins.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
GOWORK="$PWD/cases-2/go.work" go -C cases-2 test -c -o ../bin/cases-2 .
