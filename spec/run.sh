#!/usr/bin/env bash
# Checks every model with spin, and every variant named in its header. The
# model itself must have no error; each variant drops one safeguard (or states
# that something good cannot happen) and must be rejected, or the model could
# not have seen the fault. One line each, with the states explored.
set -u
cd "$(dirname "$0")"
memory_megabytes=1024
depth=1000000
jobs=4
mkdir -p build

# check MODEL VARIANT: VARIANT "-" is the model as it stands.
check() {
  local model=$1 variant=$2 define="" dir log states
  [ "$variant" = "-" ] || define="-D$variant"
  dir="build/${model%.pml}.$variant"
  log="$dir/log"
  rm -rf "$dir"
  mkdir -p "$dir"
  if ! (cd "$dir" && spin $define -a "../../$model" >log 2>&1 &&
    gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM="$memory_megabytes" -DVECTORSZ=4096 -w -o pan pan.c >>log 2>&1); then
    echo "$model $variant: DOES NOT BUILD, see spec/$log"
    return 1
  fi
  (cd "$dir" && ./pan -m"$depth" >>log 2>&1)
  states=$(awk '/states, stored/ {print $1; exit}' "$log")
  # An unfinished search proves nothing either way.
  if ! grep -q "errors: " "$log" || grep -qE "search depth too small|out of memory|reached -DMEMLIM" "$log"; then
    echo "$model $variant: UNFINISHED after ${states:-no} states, see spec/$log"
    return 1
  fi
  if [ "$variant" = "-" ]; then
    if grep -q "errors: 0" "$log"; then
      echo "$model: holds, $states states"
      return 0
    fi
    echo "$model: FAILS after $states states: $(grep -m1 '^pan:1' "$log")"
    return 1
  fi
  if grep -q "errors: 0" "$log"; then
    echo "$model $variant: PASSES without its safeguard, $states states"
    return 1
  fi
  if ! grep -q "assertion violated" "$log"; then
    echo "$model $variant: rejected for another reason: $(grep -m1 '^pan:1' "$log")"
    return 1
  fi
  echo "$model $variant: rejected as it must be, $states states"
}

if [ $# -eq 2 ]; then
  check "$1" "$2"
  exit
fi
command -v spin >/dev/null 2>&1 || { echo "spec: spin is missing; scripts/setup.sh installs it" >&2; exit 1; }

# The models themselves take longest, so they start first.
{
  for model in *.pml; do
    echo "$model -"
  done
  for model in *.pml; do
    sed -n 's/^ \* variants: //p' "$model" | tr ' ' '\n' | sed "s/^/$model /"
  done
} | xargs -P "$jobs" -L 1 ./run.sh || exit 1
