#!/usr/bin/env bash
# The whole test command: formatter, vet, linter, tests under the race
# detector, model checks. The verdict is that of the last failing step.
set -u
cd "$(dirname "$0")/.."
modules="decide platform fleet route node standin proof"
failed=0

step() {
  local name=$1
  shift
  echo "== $name"
  if ! "$@"; then
    echo "-- $name FAILED"
    failed=1
  fi
}

formatted() {
  local unformatted
  unformatted=$(gofmt -l $(git ls-files '*.go'))
  [ -z "$unformatted" ] || { echo "not gofmt-clean:"; echo "$unformatted"; return 1; }
}

packages() {
  for m in $modules; do echo "./$m/..."; done
}

# The decision modules must stay readable and testable without a network or a
# clock, so their shipped code may import only the standard library, and of it
# neither net nor os.
decide_imports() {
  local bad
  bad=$(go list -f '{{$p := .ImportPath}}{{range .Imports}}{{$p}} {{.}}{{"\n"}}{{end}}' ./decide/... |
    awk 'NF==2 && ($2 ~ /^(net|os|syscall)(\/|$)/ || ($2 ~ /\./ && $2 !~ /^github.com\/cicadatack\/cicadatack\/decide(\/|$)/))')
  [ -z "$bad" ] || { echo "decide/ must not import:"; echo "$bad"; return 1; }
  bad=$(git grep -nE 'time\.(Now|Sleep|After|NewTimer|NewTicker|Since|Until)\(' -- 'decide/*.go' ':!decide/*_test.go' || true)
  [ -z "$bad" ] || { echo "decide/ must not read a clock:"; echo "$bad"; return 1; }
}

# Known failures are listed in KNOWN-RED.txt (three at most, one line each:
# package test-name | cause | issue). They run and are printed, but do not
# decide the verdict; every other failure does.
go_tests() {
  local out=bin/test-output.json
  mkdir -p bin
  go test -race -count=1 -timeout 20m -json $(packages) >"$out" 2>bin/test-stderr.txt
  local code=$?
  go run ./proof/cmd/verdict -known KNOWN-RED.txt -exit "$code" <"$out" || { cat bin/test-stderr.txt; return 1; }
}

step setup scripts/setup.sh
step gofmt formatted
step vet go vet $(packages)
step staticcheck go tool staticcheck $(packages)
step "decide imports" decide_imports
step "go test -race" go_tests
[ ! -x spec/run.sh ] || step "model checks" spec/run.sh
if [ "$failed" -ne 0 ]; then
  echo "== FAILED"
  exit 1
fi
echo "== OK"
