#!/usr/bin/env bash
# Measures throughput, recovery, delays and what control costs, on loopback, in
# about eleven minutes. Takes the names of sections; none means all. The tables go
# to standard output and to bench-out/bench.md.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/ ./e2e/cmd/bench
exec bin/bench --bin bin --out bench-out "$@"
