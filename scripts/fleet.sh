# Functions that start the stand-ins and entry instances of a deployment as
# separate processes on this machine, and stop them. Meant to be sourced.

ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
BIN="$ROOT/bin"
WORK=""
# PIDS and NAMES list the processes of the running deployment; STARTED lists the
# ids of all processes started so far.
PIDS=()
NAMES=()
STARTED=()
ENTRY_COUNT=3

PLATFORM=127.0.0.1:9001
RATER=127.0.0.1:9002

# The keys of the examples; they are valid only there.
export BASILRAIL_OPERATOR_KEY=demo-operator
export BASILRAIL_PEER_SECRET=demo-peer-secret-demo-peer-secret
export BASILRAIL_TOKEN_SECRET=demo-token-secret-demo-token-secret

callers() { echo "http://127.0.0.1:1808$1"; }
operators() { echo "http://127.0.0.1:1809$1"; }
peers() { echo "127.0.0.1:1810$1"; }

# launch NAME COMMAND... starts a process with its output in a log file.
launch() {
  local name="$1"
  shift
  "$@" >"$WORK/$name.log" 2>&1 &
  PIDS+=($!)
  STARTED+=($!)
  NAMES+=("$name")
}

# pid_of NAME prints the process id of a process.
pid_of() {
  local i
  for i in "${!NAMES[@]}"; do
    [[ "${NAMES[$i]}" != "$1" ]] || echo "${PIDS[$i]}"
  done
}

# launch_entry NUMBER FAILURE-DOMAIN starts an entry instance.
launch_entry() {
  local caller_address operator_address
  caller_address="$(callers "$1")"
  operator_address="$(operators "$1")"
  launch "entry-$1" "$BIN/basilraild" \
    --instance="entry-$1" --failure-domain="$2" \
    --platform-url="http://$PLATFORM" --rating-url="http://$RATER" \
    --listen-callers="${caller_address#http://}" --listen-operators="${operator_address#http://}" \
    --listen-peers="$(peers "$1")" --drain-wait=500ms
}

# fleet_up DEPLOYMENT DOMAIN... starts everything and applies the settings.
fleet_up() {
  local deployment="$1" n line
  shift
  WORK="$(mktemp -d)"
  trap fleet_down EXIT
  BASILRAIL_BOOTSTRAP_KEY_SHA256="$(printf %s "$BASILRAIL_OPERATOR_KEY" | sha256sum | cut -d' ' -f1)"
  export BASILRAIL_BOOTSTRAP_KEY_SHA256
  launch platform "$BIN/basilrail-standin" platform --listen="$PLATFORM"
  launch rater "$BIN/basilrail-standin" rater --listen="$RATER"
  launch servers "$BIN/basilrail-standin" servers "$ROOT/examples/$deployment" --unacceptable=tagger@v1=0.3
  for n in $(seq "$ENTRY_COUNT"); do
    launch_entry "$n" "${!n}"
  done
  for n in $(seq "$ENTRY_COUNT"); do
    "$BIN/basilrail-standin" caller wait "$(operators "$n")/health/ready"
  done
  check_running
  export BASILRAIL_ENTRIES
  BASILRAIL_ENTRIES="$(operators 1),$(operators 2),$(operators 3)"
  # Copied because basilrailctl records the revision of the documents beside them.
  cp -r "$ROOT/examples/$deployment" "$WORK/settings"
  line="$("$BIN/basilrailctl" apply "$WORK/settings")"
  echo "$line"
  wait_in_effect "$(revision_of "$line")"
}

# revision_of LINE prints the revision that a change was committed as.
revision_of() { sed -n 's/.* revision \([0-9]*\)$/\1/p' <<<"$1"; }

# wait_in_effect REVISION waits until every entry instance has these settings.
wait_in_effect() {
  local attempt
  for attempt in $(seq 60); do
    if [[ "$(count_in_effect "$1")" == "$ENTRY_COUNT" ]]; then
      return
    fi
    sleep 0.1
  done
  fail "the settings are not in force everywhere within 6 s"
}

# count_in_effect REVISION prints the number of entry instances that have the revision
# in effect.
count_in_effect() {
  local n count=0
  for n in $(seq "$ENTRY_COUNT"); do
    BASILRAIL_ENTRIES="$(operators "$n")" "$BIN/basilrailctl" status | grep -Eq "^entry-$n +.* $1 +current" && count=$((count + 1))
  done
  echo "$count"
}

fail() {
  echo "$(basename "$0" .sh): $*" >&2
  exit 1
}

# fleet_down stops the processes of the deployment and waits for their exit.
fleet_down() {
  trap - EXIT
  local pid
  for pid in "${PIDS[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${PIDS[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  PIDS=()
  NAMES=()
  rm -rf "$WORK"
}

# check_running fails if one of the processes has exited.
check_running() {
  local pid
  for pid in "${PIDS[@]}"; do
    kill -0 "$pid" 2>/dev/null || {
      echo "a process ended too early; the logs:" >&2
      tail -n 20 "$WORK"/*.log >&2
      return 1
    }
  done
}
