#!/bin/sh
# usage: replay.sh ADAPTER FOLDER: the adapter answers the recorded input with the recorded output, byte for byte.
set -e
"$1" <"$2/input.jsonl" | cmp - "$2/output.jsonl"
