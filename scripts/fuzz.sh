#!/usr/bin/env bash
# Searches with each fuzz target for FUZZ_RUNS inputs (default 200000), with
# FUZZ_WORKERS processes (default 4). What it finds is kept as a seed under
# testdata/fuzz, which `make test` runs from then on. The bound is a count and not
# a time: at the end of a time the go command now and then reports its own deadline
# as a failure of the target.
#
# Then it tries RAPID_CHECKS histories (default 20000) of each test that draws them
# with rapid, from a seed of its own, which a failure prints; `make test` has one
# fixed seed. A history that fails becomes a test of its own.
set -eu
cd "$(dirname "$0")/.."
runs=${FUZZ_RUNS:-200000}
workers=${FUZZ_WORKERS:-4}
git grep -hlE '^func Fuzz' -- '*_test.go' | while read -r file; do
  for target in $(sed -n 's/^func \(Fuzz[A-Za-z0-9]*\).*/\1/p' "$file"); do
    echo "== $target in $(dirname "$file"), $runs inputs"
    go test "./$(dirname "$file")" -run '^$' -fuzz "^$target\$" -fuzztime "${runs}x" -parallel "$workers"
  done
done

checks=${RAPID_CHECKS:-20000}
git grep -lF pgregory.net/rapid -- '*_test.go' | xargs -n1 dirname | sort -u | while read -r dir; do
  tests=$(grep -lF pgregory.net/rapid "$dir"/*_test.go | xargs awk '/^func Test/ {name=$2; sub(/\(.*/, "", name)} /rapid\.Check\(/ {print name}' | sort -u | paste -sd'|')
  echo "== $tests in $dir, $checks histories"
  go test "./$dir" -run "^($tests)\$" -timeout 60m -rapid.checks="$checks" -rapid.nofailfile
done
