#!/usr/bin/env bash
# Builds what the scripts of the review start besides the node: one program with the callers, the
# replicas, the store and the links of all cases.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
GOWORK="$PWD/go.work" go test -c -o bin/cases ./cases
