#!/usr/bin/env bash
# Installs what a fresh machine lacks: a C compiler (the race detector and
# spin's verifiers need one) and the spin model checker. Go modules and the
# linter come by themselves through go.mod.
set -eu
missing=()
command -v gcc >/dev/null 2>&1 || missing+=(gcc libc6-dev)
command -v spin >/dev/null 2>&1 || missing+=(spin)
if [ "${#missing[@]}" -gt 0 ]; then
  echo "setup: installing ${missing[*]}"
  apt-get update -qq
  apt-get install -y -qq "${missing[@]}"
fi
