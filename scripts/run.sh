#!/usr/bin/env bash
# Runs the lagos-main example until interrupted.
set -euo pipefail
# shellcheck source=scripts/fleet.sh
source "$(dirname "$0")/fleet.sh"
fleet_up lagos-main hall-ikeja hall-lekki hall-yaba
check_running
cat <<TEXT

The fleet is up; its logs are in $WORK. Try:

  curl -s $(callers 1)/v1/chat/completions -H 'Authorization: Bearer demo-ikoyi-shop-a' \\
    -H 'X-Task: describe' -d '{"model":"auto","messages":[{"role":"user","content":"Oak wardrobe, two doors"}]}'

  BASILRAIL_OPERATOR_KEY=demo-operator $BIN/basilrailctl --entry $(operators 1) status

Interrupt (Ctrl-C) to end it.
TEXT
trap 'exit 0' INT TERM
while check_running; do
  sleep 1
done
