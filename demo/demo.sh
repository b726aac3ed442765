#!/bin/sh
# Runs the whole path with stand-ins: an online completion, a streamed one, a
# call that must not be repeated, and a job of 200 items of which 3 cannot be
# done. Leaves no process behind.
set -eu
build=${1:-build}
work=$(mktemp -d)
pids=
token=harbour-token
batch_token=orchard-token

cleanup() {
	for pid in $pids; do
		kill "$pid" 2>/dev/null || true
	done
	for pid in $pids; do
		wait "$pid" 2>/dev/null || true
	done
	rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

fail() {
	echo "demo: FAILED: $1" >&2
	tail -n 20 "$work"/*.log >&2 || true
	exit 1
}

# start NAME PROGRAM ARGS...: starts a program and waits for its ready line.
start() {
	name=$1
	shift
	"$build/$@" >"$work/$name.out" 2>"$work/$name.log" &
	pids="$! $pids"
	for _ in $(seq 100); do
		grep -q '^ready ' "$work/$name.out" && return
		sleep 0.05
	done
	fail "$name did not become ready"
}

# The ports are the same on all loopback addresses, as in a fleet of hosts. They
# lie below the ephemeral ports, which other processes may have in use.
port=${DEMO_PORT:-$((20000 + $$ % 12000))}
http=$port
peer=$((port + 1))
op=$((port + 2))
endpoint=$((port + 3))
platform=$((port + 4))

start platform standin-platform --address 127.0.0.1 --port "$platform"
i=0
for zone in trent-bank lakeside canal-walk market-sq; do
	for n in 1 2; do
		i=$((i + 1))
		start "engine-$i" standin-engine --address "127.0.0.$((100 + i))" \
		    --port "$endpoint" --slots 8 --token-ms 5 --model tally-lm
	done
done
start ledger standin-service --address 127.0.0.109 --port "$endpoint"
sed "s/:8000/:$endpoint/" demo/overlay-site-one.ini >"$work/overlay.ini"

i=0
for zone in trent-bank lakeside canal-walk; do
	i=$((i + 1))
	cat >"$work/host-$i.ini" <<END
[host]
name = host-$i
address = 127.0.0.$((10 + i))
zone = $zone
site = site-one
http_port = $http
peer_port = $peer
operator_port = $op
platform = http://127.0.0.1:$platform
key = demo-only-secret-of-the-hosts
seeds = 127.0.0.11, 127.0.0.12, 127.0.0.13
period_ms = 200
operator_token_hash = 83610523f0286e15fbce40c0d1e51ddefdd7bd3deeadd7d7cf3aa2e4a32cc01f
END
	start "host-$i" daisypierd --settings "$work/host-$i.ini"
done

echo "== apply the configuration"
DAISYPIER_SERVER=http://127.0.0.11:$op
DAISYPIER_TOKEN=operator-token
export DAISYPIER_SERVER DAISYPIER_TOKEN
"$build/daisypier" config apply --from 0 --wait 10 demo/base.ini \
    "site-one=$work/overlay.ini" || fail "config apply"

for i in 1 2 3; do
	for _ in $(seq 100); do
		curl -sf -o /dev/null "http://127.0.0.1$i:$http/healthz" &&
		    break
		sleep 0.1
	done
done

echo "== entries"
curl -sf "http://127.0.0.11:$http/v1/entries?zone=lakeside" || fail entries
echo

# request HOST PATH ARGS...: prints the headers that say where it ran, and the body.
request() {
	host=$1
	path=$2
	shift 2
	curl -s -m 20 -D "$work/headers" -o "$work/body" \
	    "http://127.0.0.1$host:$http$path" "$@" || fail "$path"
	grep -iE '^(HTTP|X-Daisypier|X-Request)' "$work/headers" | tr -d '\r'
	head -c 1200 "$work/body"
	echo
}

echo "== online completion"
request 1 /v1/completions -H "Authorization: Bearer $token" \
    -d '{"model":"tally-lm","prompt":"what is two plus two","max_tokens":8}'
grep -q '"finish_reason"' "$work/body" || fail completion

echo "== streamed completion"
request 2 /v1/completions -H "Authorization: Bearer $token" \
    -d '{"model":"tally-lm","prompt":"name four colours","max_tokens":4,"stream":true}'
grep -q '\[DONE\]' "$work/body" || fail stream

echo "== call that must not be repeated, sent twice"
for host in 1 3; do
	request $host /v1/call/ledger -H "Authorization: Bearer $token" \
	    -H 'X-No-Repeat: 1' -H 'Idempotency-Key: payment-17' \
	    -d '{"amount":17}'
	grep -q '"execution":1' "$work/body" || fail "call ran twice"
	cp "$work/headers" "$work/call-headers"
done

echo "== job of 200 items, 3 of which cannot be done"
for n in $(seq 0 199); do
	case $n in
	13 | 77 | 151) prompt="impossible item $n" ;;
	*) prompt="item $n" ;;
	esac
	echo "{\"model\":\"tally-lm\",\"prompt\":\"$prompt\",\"max_tokens\":10}"
done >"$work/items"
request 2 /v1/jobs -H "Authorization: Bearer $batch_token" \
    -H 'Idempotency-Key: job-1' --data-binary "@$work/items"
job=$(sed 's/.*"id":"\([^"]*\)".*/\1/' "$work/body")
for _ in $(seq 100); do
	curl -s -H "Authorization: Bearer $batch_token" \
	    "http://127.0.0.13:$http/v1/jobs/$job" >"$work/job"
	grep -q '"state":"finished"' "$work/job" && break
	sleep 0.1
done
cat "$work/job"
echo
grep -q '"succeeded":197,"failed":3' "$work/job" || fail "job"
curl -s -H "Authorization: Bearer $batch_token" \
    "http://127.0.0.11:$http/v1/jobs/$job/results" | head -n 2

echo "== where the calls ran, and the configuration on each host"
"$build/daisypier" where "$(tr -d '\r' <"$work/call-headers" |
    sed -n 's/^X-Request-Id: //p')" || fail where
"$build/daisypier" config status || fail "config status"

echo "demo: ok"
