#!/usr/bin/env bash
# Runs both examples with separate processes for the platform, the rating service,
# the backend servers and three entry instances. Ends with "demo: ok", or with an
# error message and a nonzero status.
set -euo pipefail
# shellcheck source=scripts/fleet.sh
source "$(dirname "$0")/fleet.sh"

SHOP=demo-ikoyi-shop-a
DEPOT=demo-ikoyi-depot
BENCH=demo-garage-bench-1
caller="$BIN/basilrail-standin caller"
ctl="$BIN/basilrailctl"

# field NAME LINE prints the value of name=value in an answer's line.
field() { sed -n "s/.*\\b$1=\\([^ ]*\\).*/\\1/p" <<<"$2"; }

# answer_of LINE prints the text of an answer.
answer_of() { sed 's/.* answer=//' <<<"$1"; }

title() { printf '\n== %s\n' "$*"; }

# show LINE prints the version, tokens, cost and start of an answer.
show() {
  printf '   request %s: %s, %s tokens, cost %s micro-units\n   %.70s...\n' "$(field request "$1")" \
    "$(field version "$1")" "$(field tokens "$1")" "$(field cost "$1")" "$(answer_of "$1")"
}

# chat ENTRY ARGUMENTS... sends a chat completion that must be answered.
chat() {
  local entry="$1" line
  shift
  line="$($caller chat --entry "$(callers "$entry")" "$@")" || fail "not answered: $line"
  echo "$line"
}

describe() {
  title "A description, from entry 1"
  show "$(chat 1 --key "$SHOP" --task describe "Oak wardrobe, two doors, light marks on one side")"
}

summarise() {
  title "A streamed summary, from entry 2"
  show "$(chat 2 --key "$SHOP" --task summarise --stream "Collected from Ikeja on Monday, two vans")"
}

converse() {
  title "A session of three turns, each at another entry instance"
  local turn line="" version=""
  # The rollout assigns 1% of new sessions to writer@v2. This session must be pinned
  # to writer@v1, so that the withdrawal of writer@v1 ends it.
  for _ in {1..20}; do
    [[ "$version" == writer@v1 ]] && break
    rm -f "$WORK/session"
    line="$(chat 1 --key "$SHOP" --task describe --session "$WORK/session" "Turn 1 of a session")"
    version="$(field version "$line")"
  done
  show "$line"
  for turn in 2 3; do
    line="$(chat "$turn" --key "$SHOP" --task describe --session "$WORK/session" "Turn $turn of a session")"
    show "$line"
    [[ "$version" == "$(field version "$line")" ]] || fail "the session changed its version"
  done
}

# book ENTRY books the same pickup under the same key.
book() {
  $caller call --entry "$(callers "$1")" --key "$SHOP" --idempotency-key pickup-1 \
    booking /bookings '{"van":"1","item":"wardrobe"}'
}

book_twice() {
  title "A booking, sent twice with one key"
  local first second
  first="$(book 1)" || fail "the booking was refused: $first"
  second="$(book 2)" || fail "the repeated booking was refused: $second"
  echo "   entry 1: $(answer_of "$first")"
  echo "   entry 2: $(answer_of "$second") (recorded outcome: $(field replayed "$second"))"
  [[ "$(answer_of "$first")" == "$(answer_of "$second")" ]] || fail "the pickup was booked twice"
  [[ "$(field replayed "$second")" == true ]] || fail "the repeated call was not answered from the record"
}

# traffic sends descriptions to all entries in turn until the file "stop" exists.
traffic() {
  local n=0
  while [[ ! -e "$WORK/stop" ]]; do
    n=$((n + 1))
    $caller chat --entry "$(callers $((n % 3 + 1)))" --key "$DEPOT" --task describe "Item $n" \
      >>"$WORK/traffic" 2>/dev/null || true
  done
}

withdraw() {
  title "writer@v1 is withdrawn while traffic flows"
  traffic &
  local traffic_pid=$! line
  sleep 1
  line="$($ctl withdraw writer@v1)" || fail "the withdrawal failed"
  echo "   $line"
  wait_in_effect "$(revision_of "$line")"
  $ctl status | sed 's/^/   /'
  local before after
  before="$(wc -l <"$WORK/traffic")"
  sleep 1
  touch "$WORK/stop"
  wait "$traffic_pid"
  after="$(tail -n +"$((before + 2))" "$WORK/traffic")"
  echo "   answered by, before: $(versions <"$WORK/traffic")"
  echo "   answered by, in force: $(versions <<<"$after")"
  ! grep -q 'version=writer@v1 ' <<<"$after" || fail "a withdrawn version answered"
  grep -q 'status=200' <<<"$after" || fail "nothing was answered after the withdrawal"
  pinned_session
}

# pinned_session checks that a session pinned to the withdrawn version is refused,
# not moved to another version.
pinned_session() {
  local line
  if line="$($caller chat --entry "$(callers 1)" --key "$SHOP" --task describe --session "$WORK/session" "Turn 4" 2>/dev/null)"; then
    fail "a session pinned to the withdrawn version was answered: $line"
  fi
  echo "   the session's fourth turn: $(answer_of "$line")"
  grep -q '"ran":"not_run"' <<<"$line" || fail "the refusal does not say that it did not run"
}

versions() { sed -n 's/.*version=\([^ ]*\) .*/\1/p' | sort | uniq -c | awk '{printf "%s x%s  ", $2, $1}'; }

# account shows the explanation of one request, and the bills.
account() {
  title "What operators see: one request, and the bills"
  local line
  line="$(chat 3 --key "$SHOP" --task summarise --stream "Two wardrobes and a desk, ready on Friday")"
  $ctl explain "$(field request "$line")" | sed 's/^/   /'
  sleep 2
  $ctl bills | sed 's/^/   /'
}

# order ENTRY sends the same work order under the same key.
order() {
  $caller call --entry "$(callers "$1")" --key "$BENCH" --idempotency-key order-1 \
    scheduling /work-orders '{"unit":"plough-7","work":"brakes"}'
}

# workshop runs the quebec-est example and kills an entry instance.
workshop() {
  fleet_up quebec-est salle-levis salle-beauport salle-charny
  title "quebec-est: a maintenance plan, from entry 2"
  show "$(chat 2 --key "$BENCH" --task plan "Full maintenance plan for plough 7")"
  title "A work order at entry 1, which is then killed, and the same order at entry 3"
  local first second
  first="$(order 1)" || fail "the work order was refused: $first"
  kill -KILL "$(pid_of entry-1)"
  second="$(order 3)" || fail "the repeated work order was refused: $second"
  echo "   entry 1: $(answer_of "$first")"
  echo "   entry 3: $(answer_of "$second") (recorded outcome: $(field replayed "$second"))"
  [[ "$(answer_of "$first")" == "$(answer_of "$second")" ]] || fail "the work order was sent twice"
  fleet_down
}

fleet_up lagos-main hall-ikeja hall-lekki hall-yaba
describe
summarise
converse
book_twice
withdraw
account
check_running
fleet_down
workshop
for pid in "${STARTED[@]}"; do
  ! kill -0 "$pid" 2>/dev/null || fail "process $pid is left behind"
done
echo
echo "demo: ok"
