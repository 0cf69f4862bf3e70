#!/bin/sh
# Starts the program, waits until it serves and stops it by SIGTERM: it must print its counters and exit with 0.
# On each SIGHUP it must reload its configuration completely or not at all, and go on serving.
# A start without a configuration must print one line and exit with a non-zero code.
set -eu
program=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
if PROXY_CONFIG="$work/none" "$program" 2>"$work/log"; then exit 1; fi
[ "$(wc -l <"$work/log")" -eq 1 ]
cp "$2" "$work/config"
export PROXY_CONFIG="$work/config" PROXY_LISTEN=127.0.0.1:0 PROXY_MGMT=127.0.0.1:0 PROXY_DISCOVERY=127.0.0.1:8500
"$program" 2>"$work/log" &
pid=$!
wait_for_log() {
    until grep -q "$1" "$work/log"; do
        kill -0 "$pid"
        sleep 0.05
    done
}
wait_for_log 'serves on'
echo '{"discovery": "127.0.0.1:8502"' >"$work/config"
kill -HUP "$pid"
wait_for_log 'stays as it was'
sed 's/127.0.0.1:8500/127.0.0.1:8501/' "$2" >"$work/config"
kill -HUP "$pid"
kill -HUP "$pid"
wait_for_log 'discovery at 127.0.0.1:8501' # from the file, although the environment had precedence at the start
if grep -q 8502 "$work/log"; then exit 1; fi
kill -USR1 "$pid"
kill -TERM "$pid"
kill -HUP "$pid"
wait "$pid"
[ "$(grep -c 'messages: taken-in 0 ' "$work/log")" -ge 1 ]
