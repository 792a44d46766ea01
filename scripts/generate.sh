#!/usr/bin/env bash
# Regenerates the code of the nodes' protocol. Needs protoc; its plugins are
# the versions declared in tools/go.mod. The output is committed, so no build
# calls this.
set -eu
cd "$(dirname "$0")/.."
command -v protoc >/dev/null 2>&1 || { echo "generate: protoc is missing" >&2; exit 1; }
mkdir -p bin
(cd tools && go build -o ../bin/ google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp)
for proto in fleet/exchange/exchange fleet/reads/readspb/reads fleet/bookings/bookingspb/bookings fleet/evidence/evidencepb/evidence; do
  folder=$(dirname "$proto")
  PATH="$PWD/bin:$PATH" protoc -I "$folder" \
    --go_out="$folder" --go_opt=paths=source_relative \
    --twirp_out="$folder" --twirp_opt=paths=source_relative \
    "$(basename "$proto").proto"
  gofmt -w "$folder"/*.go
done
