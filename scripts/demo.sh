#!/usr/bin/env bash
# Runs the whole path on loopback and ends by itself.
set -eu
cd "$(dirname "$0")/.."
exec bin/demo --bin bin
