#!/bin/sh
# usage: compare_seeds.sh FUZZ_SEEDS FOLDER: datagrams made from known values are the recorded ones.
set -e
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
mkdir "$scratch/datagram" "$scratch/snapshot"
"$1" "$scratch"
diff -r "$scratch/datagram" "$2/datagrams"
