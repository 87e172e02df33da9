#!/usr/bin/env bash
# Prints every measure. The overhead and throughput rows need processes of their
# own: one engine stand-in, entry instances and one bare relay, on loopback.
# All of them are stopped before the script returns.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
pids=()
cleanup() {
	if ((${#pids[@]})); then kill "${pids[@]}" 2>/dev/null || true; fi
	wait
	rm -rf "$bin"
}
trap cleanup EXIT
go build -o "$bin/" ./cmd/...

# wait_for URL waits up to 20 s for an answer of status 200.
wait_for() {
	for _ in $(seq 200); do
		if [ "$(curl -s -o /dev/null -w '%{http_code}' "$1")" = 200 ]; then return 0; fi
		sleep 0.1
	done
	echo "no answer from $1" >&2
	return 1
}

settings=scripts/measure-settings
sum=$(printf %s demo-operator | sha256sum | cut -d' ' -f1)
secret=$(head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n')
"$bin/basilrail-standin" platform --listen=127.0.0.1:8890 2>"$bin/platform.log" &
pids+=($!)
"$bin/basilrail-standin" servers "$settings" --token-time=1ns --first-token=1ns 2>"$bin/servers.log" &
pids+=($!)
GOMAXPROCS=1 "$bin/basilrail-measure" relay --listen=127.0.0.1:8891 --server=http://127.0.0.1:8892 2>"$bin/relay.log" &
relay=$!
pids+=("$relay")

# entry NAME DOMAIN PORT starts an entry instance on PORT and the two after it.
entry() {
	GOMAXPROCS=1 BASILRAIL_PEER_SECRET=$secret BASILRAIL_TOKEN_SECRET=$secret "$bin/basilraild" \
		--instance="$1" --failure-domain="$2" --platform-url=http://127.0.0.1:8890 \
		--listen-callers=127.0.0.1:"$3" --listen-operators=127.0.0.1:$(($3 + 1)) --listen-peers=127.0.0.1:$(($3 + 2)) \
		--bootstrap-key-sha256="$sum" --log-level=error --drain-wait=1ms 2>"$bin/$1.log" &
	pids+=($!)
}
entry entry-1 here 8893
measured=${pids[-1]}
# Two more instances hold replicas of the bills that are not stored yet.
entry entry-2 there 8897
entry entry-3 elsewhere 8901
wait_for http://127.0.0.1:8894/health/ready
cp -r "$settings" "$bin/settings"
"$bin/basilrailctl" apply "$bin/settings" --entry=http://127.0.0.1:8894 --key=demo-operator >"$bin/apply.log"
sleep 5 # until every instance is on the membership list and in the mesh
for _ in $(seq 100); do
	if curl -sf -o /dev/null -H 'Authorization: Bearer demo-measure-caller' \
		-d '{"model":"fast@v1","messages":[{"role":"user","content":"x"}]}' \
		http://127.0.0.1:8893/v1/chat/completions; then break; fi
	sleep 0.1
done
"$bin/basilrail-measure" --path-entry-url=http://127.0.0.1:8893 --path-relay-url=http://127.0.0.1:8891 \
	--path-engine-url=http://127.0.0.1:8892 --path-entry-pid="$measured" --path-relay-pid="$relay" "$@"
