#!/usr/bin/env bash
# Regenerates the code of the nodes' protocol. Needs protoc; its plugins are
# the versions declared in tools/go.mod. The output is committed, so no build
# calls this.
set -eu
cd "$(dirname "$0")/.."
command -v protoc >/dev/null 2>&1 || { echo "generate: protoc is missing" >&2; exit 1; }
mkdir -p bin
(cd tools && go build -o ../bin/ google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp)
PATH="$PWD/bin:$PATH" protoc -I fleet/exchange \
  --go_out=fleet/exchange --go_opt=paths=source_relative \
  --twirp_out=fleet/exchange --twirp_opt=paths=source_relative \
  exchange.proto
gofmt -w fleet/exchange/*.go
PATH="$PWD/bin:$PATH" protoc -I fleet/reads/readspb \
  --go_out=fleet/reads/readspb --go_opt=paths=source_relative \
  --twirp_out=fleet/reads/readspb --twirp_opt=paths=source_relative \
  reads.proto
gofmt -w fleet/reads/readspb/*.go
