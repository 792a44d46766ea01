#!/usr/bin/env bash
# Starts a small site on loopback, with stand-ins in the platform's place, and
# runs it until Ctrl-C: a store, two chains of two engines, two instances of a
# plain service, three nodes and a trial node. `make build` comes first.
# The nodes have no document yet: docs/OPERATIONS.md goes on from here.
set -eu
cd "$(dirname "$0")/.."
logs=${1:-bin/site}
mkdir -p "$logs"

started=()
# stop ends the processes that this script started, and no others.
stop() {
  trap - EXIT INT TERM
  kill "${started[@]}" 2>/dev/null || true
  wait
}
trap stop EXIT
trap 'exit 0' INT TERM

# run NAME PROGRAM ARGUMENTS... starts a program; its output goes to a file.
run() {
  local name=$1 program=$2
  shift 2
  "bin/$program" "$@" >"$logs/$name.log" 2>&1 &
  started+=($!)
}

# wait_for ADDRESS PATH waits until somebody answers there.
wait_for() {
  curl --silent --output /dev/null --retry 50 --retry-delay 1 --retry-connrefused "http://$1$2"
}

engine() {
  run "$1" standin-engine --name "$1" --listen "127.0.0.1:$2" --model pastry-llm \
    --first "$3" --last "$4" --version 0 --step-us 20000
}

# list_vm writes a VM into the platform's list, as the platform itself does in
# production: values in the store's calls are base64.
list_vm() {
  local name=$1 address=$2 domain=$3 slot=$4 value
  value=$(printf '{"name":"%s","address":"%s","failure_domain":"%s","state":"live","slot":"%s"}' \
    "$name" "$address" "$domain" "$slot" | base64 -w0)
  curl --silent --show-error --fail --output /dev/null http://127.0.0.1:18000/kv-txn \
    --data "{\"writes\":[{\"key\":\"/platform/vms/entry/$name\",\"value\":\"$value\"}]}"
}

run store standin-store --listen 127.0.0.1:18000
engine engine-1-a 18011 0 3
engine engine-1-b 18012 4 7
engine engine-2-a 18021 0 3
engine engine-2-b 18022 4 7
run ledger-1 standin-plain --name ledger-1 --listen 127.0.0.1:18031
run ledger-2 standin-plain --name ledger-2 --listen 127.0.0.1:18032
wait_for 127.0.0.1:18000 /control

list_vm entry-1 127.0.0.1:18201 bandung production
list_vm entry-2 127.0.0.1:18202 bekasi production
list_vm entry-3 127.0.0.1:18203 bogor production
list_vm trial-1 127.0.0.1:18209 bandung trial
for name in entry-1 entry-2 entry-3 trial-1; do
  run "$name" cicadatack --settings "examples/$name.json"
done
for port in 18301 18302 18303 18309; do
  wait_for "127.0.0.1:$port" /healthz
done

# Somebody else may hold one of the ports: then our process has ended.
for pid in "${started[@]}"; do
  kill -0 "$pid" 2>/dev/null || { echo "a process has ended; see the logs in $logs" >&2; exit 1; }
done

echo "the site runs; Ctrl-C ends it; logs are in $logs"
echo "store      127.0.0.1:18000"
echo "callers    127.0.0.1:18101 18102 18103, trial 18109"
echo "operators  127.0.0.1:18301 18302 18303, trial 18309"
wait
