#!/usr/bin/env bash
# Plays the sweep of the users' bench on several deployments, one after the other, and
# prints for each how load and times grow with the nodes, and a verdict: whether the day
# at the most nodes broke no rule and serves at least 0.7 of what the one at the fewest
# does. The bench is not part of this repository.
#
#   BENCH=path/to/bench scripts/sweep.sh [--most 300] [--jobs 2] SITE...
set -eu
cd "$(dirname "$0")/.."
most=300 jobs=2 failed=0
while [ $# -gt 0 ]; do
  case $1 in
    --most) most=${2:?--most needs a number}; shift 2 ;;
    --jobs) jobs=${2:?--jobs needs a number}; shift 2 ;;
    -*) echo "sweep: unknown option $1" >&2; exit 2 ;;
    *) break ;;
  esac
done
[ -n "${BENCH:-}" ] || { echo "sweep: BENCH is not set: the path of the users' bench" >&2; exit 2; }
[ -x "$BENCH" ] || { echo "sweep: $BENCH is no program" >&2; exit 2; }
[ $# -gt 0 ] || { echo "sweep: name at least one site file" >&2; exit 2; }
for site in "$@"; do
  [ -f "$site" ] || { echo "sweep: $site is no file" >&2; exit 2; }
done

# verdict reads what the bench printed.
verdict() {
  awk '
    /BROKEN/ { broken = 1 }
    /^sweep-[0-9]+/ { served[++n] = $5 }
    END {
      if (n < 2) { print "verdict: not played to the end"; exit 1 }
      if (broken) { print "verdict: a rule is broken"; exit 1 }
      if (served[n] < 0.7 * served[1]) { print "verdict: serves " served[n] ", " served[1] " with the fewest nodes"; exit 1 }
      print "verdict: clean, serves " served[n]
    }'
}

for site in "$@"; do
  echo "== $site"
  out=$("$BENCH" sweep "$site" --most "$most" --jobs "$jobs" --why "${WHY:-Slopes before a landing}") || failed=1
  printf '%s\n' "$out"
  printf '%s\n' "$out" | verdict || failed=1
done
exit $failed
