#!/usr/bin/env bash
# Brings every module's go.mod and go.sum in line with its imports. The modules
# find each other by relative path, so that each also builds outside go.work.
set -eu
cd "$(dirname "$0")/.."
project=github.com/cicadatack/cicadatack
modules="decide platform fleet route standin node e2e"
for m in $modules; do
  (
    cd "$m"
    for other in $modules; do
      [ "$other" = "$m" ] || go mod edit -replace="$project/$other=../$other"
    done
    GOWORK=off go mod tidy
    for other in $modules; do
      grep -q "$project/$other v0" go.mod || go mod edit -dropreplace="$project/$other"
    done
  )
done
