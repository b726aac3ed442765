#!/bin/sh
# Measures whole fleets on the loopback interface: online latency without and
# with a batch job under both kinds of admission, log appends, memory, and
# processor time. Writes the figures to standard output, progress to standard
# error. Leaves no process behind.
set -eu
build=${1:-build}
seed=${2:-1}
rounds=${ROUNDS:-3}
work=$(mktemp -d)
pids=
engines=8
slots=8
all_slots=$((engines * slots))
tick=$(getconf CLK_TCK)
online_auth="Authorization: Bearer harbour-token"
batch_auth="Authorization: Bearer orchard-token"

stop_all() {
	for pid in $pids; do
		kill "$pid" 2>/dev/null || true
	done
	# Hosts finish running work before they end; the bench does not wait
	# longer than this for it.
	for _ in $(seq 30); do
		alive=
		for pid in $pids; do
			kill -0 "$pid" 2>/dev/null && alive="$alive $pid"
		done
		[ -z "$alive" ] && break
		sleep 0.1
	done
	for pid in $pids; do
		kill -9 "$pid" 2>/dev/null || true
		wait "$pid" 2>/dev/null || true
	done
	pids=
}
cleanup() {
	stop_all
	rm -rf "$work"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

fail() {
	echo "system: FAILED: $1" >&2
	tail -n 5 "$work"/*.log >&2 || true
	exit 1
}

say() {
	echo "system: $(date +%T) $1" >&2
}

# start NAME PROGRAM ARGS...: starts a program and waits for its ready line.
start() {
	name=$1
	shift
	"$build/$@" >"$work/$name.out" 2>"$work/$name.log" &
	pids="$! $pids"
	echo $! >"$work/$name.pid"
	for _ in $(seq 100); do
		grep -q '^ready ' "$work/$name.out" && return
		sleep 0.05
	done
	fail "$name did not become ready"
}

# fleet NAME PORT HOSTS ADMISSION: starts a fleet with engines and a platform
# of its own. Fleets differ in their ports.
fleet() {
	fleet=$1
	port=$2
	hosts=$3
	start "$fleet-platform" standin-platform --address 127.0.0.1 \
	    --port $((port + 4))
	for i in $(seq $engines); do
		start "$fleet-engine-$i" standin-engine \
		    --address "127.0.0.$((100 + i))" --port $((port + 3)) \
		    --slots $slots --token-ms 10 --prefill-ms 30 \
		    --model tally-lm
	done
	sed "s/:8000/:$((port + 3))/" demo/overlay-site-one.ini \
	    >"$work/$fleet-overlay.ini"
	# The limits of the demo's organisation are below the rates used here.
	sed '/^requests_per_s/d; /^concurrency/d' demo/base.ini \
	    >"$work/$fleet-base.ini"
	for i in $(seq "$hosts"); do
		zone=$(echo trent-bank lakeside canal-walk market-sq |
		    cut -d ' ' -f $(((i - 1) % 4 + 1)))
		cat >"$work/$fleet-host-$i.ini" <<END
[host]
name = host-$i
address = 127.0.0.$((10 + i))
zone = $zone
site = site-one
http_port = $port
peer_port = $((port + 1))
operator_port = $((port + 2))
platform = http://127.0.0.1:$((port + 4))
key = bench-only-secret-of-the-hosts
seeds = 127.0.0.11, 127.0.0.12, 127.0.0.13
admission = $4
operator_token_hash = 83610523f0286e15fbce40c0d1e51ddefdd7bd3deeadd7d7cf3aa2e4a32cc01f
END
		start "$fleet-host-$i" daisypierd \
		    --settings "$work/$fleet-host-$i.ini"
	done
	DAISYPIER_SERVER=http://127.0.0.11:$((port + 2)) \
	    DAISYPIER_TOKEN=operator-token \
	    "$build/daisypier" config apply --from 0 --wait 20 \
	    "$work/$fleet-base.ini" "site-one=$work/$fleet-overlay.ini" >&2 ||
	    fail "config apply"
	for i in $(seq "$hosts"); do
		for _ in $(seq 200); do
			curl -sf -o /dev/null \
			    "http://127.0.0.$((10 + i)):$port/healthz" && break
			sleep 0.1
		done
	done
}

now() {
	date +%s.%N
}

# calc EXPRESSION: prints its value.
calc() {
	awk "BEGIN { printf \"%.6g\", $1 }"
}

# median FILE COLUMN: the middle value of a column.
median() {
	awk -v c="$2" '{ print $c }' "$1" | sort -g |
	    awk '{ v[NR] = $1 }
	    END { printf "%.6g", (v[int((NR + 1) / 2)] + v[int((NR + 2) / 2)]) / 2 }'
}

# engine_sum PORT FIELD: a count, summed over all engines.
engine_sum() {
	for i in $(seq $engines); do
		curl -sf "http://127.0.0.$((100 + i)):$(($1 + 3))/admin/stats"
	done | jq -s "map(.$2) | add"
}

log_stat() {
	curl -sf "http://127.0.0.1:$(($1 + 4))/admin/stats" | jq ".$2"
}

# cpu FLEET HOSTS: user and system time of all its hosts, in seconds.
cpu() {
	for i in $(seq "$2"); do
		cat "/proc/$(cat "$work/$1-host-$i.pid")/stat"
	done | sed 's/.*) //' |
	    awk -v t="$tick" '{ s += $12 + $13 } END { printf "%.3f", s / t }'
}

# metric PORT HOSTS NAME: a counter, summed over all hosts.
metric() {
	for i in $(seq "$2"); do
		curl -sf "http://127.0.0.$((10 + i)):$1/metrics"
	done | awk -v n="$3" 'index($1, n) == 1 { s += $2 }
	    END { printf "%.0f", s }'
}

# submit PORT ITEMS TOKENS KEY: submits a job and sets the variable job.
submit() {
	awk -v n="$2" -v t="$3" 'BEGIN { for (i = 0; i < n; i++)
	    printf "{\"model\":\"tally-lm\",\"prompt\":\"i%d\",\"max_tokens\":%d}\n",
	    i, t }' >"$work/items"
	status=$(curl -s -m 30 -o "$work/job" -w '%{http_code}' \
	    "http://127.0.0.12:$1/v1/jobs" -H "$batch_auth" \
	    -H "Idempotency-Key: $4" --data-binary "@$work/items") || true
	[ "$status" = 201 ] || fail "job: HTTP $status $(cat "$work/job")"
	job=$(jq -r .id "$work/job")
}

# job_done PORT: the items of the job that succeeded.
job_done() {
	curl -sf -m 10 -H "$batch_auth" "http://127.0.0.11:$1/v1/jobs/$job" |
	    jq "[.. | objects | .succeeded? // empty] | first"
}

cancel() {
	curl -s -m 10 -o /dev/null -X DELETE -H "$batch_auth" \
	    "http://127.0.0.11:$1/v1/jobs/$job" || true
	for _ in $(seq 30); do
		[ "$(engine_sum "$1" running)" = 0 ] && return
		sleep 0.1
	done
	say "engines still busy 3 s after the cancellation"
}

# load PORT RATE SECONDS TOKENS BURST: runs daisyload, result in load.json.
load() {
	cat >"$work/load.ini" <<END
[load]
entries = 127.0.0.11:$1, 127.0.0.12:$1, 127.0.0.13:$1
token = harbour-token
model = tally-lm
rate = $2
duration_s = $3
max_tokens = $4
deadline_ms = 5000
seed = $seed
END
	[ "$5" = 1 ] || cat >>"$work/load.ini" <<END
[burst one]
factor = $5
start_s = 3
length_s = 1
END
	rm -f "$work/load.json"
	# daisyload reports failed requests by its exit status too.
	timeout 40 "$build/daisyload" --scenario="$work/load.ini" \
	    --json="$work/load.json" >"$work/load.out" 2>"$work/load.log" ||
	    true
	[ -s "$work/load.json" ] || fail "daisyload"
}

# online VARIANT PORT BATCH: one round; appends a line to VARIANT.rows.
online() {
	items=0
	before=0
	if [ "$3" = 1 ]; then
		submit "$2" 6000 16 "$1-$round"
		sleep 1
		before=$(job_done "$2")
	fi
	tokens=$(engine_sum "$2" tokens)
	cancelled=$(engine_sum "$2" cancelled)
	finished=$(engine_sum "$2" finished)
	t=$(now)
	load "$2" 112 6 16 4
	t=$(calc "$(now) - $t")
	tokens=$(($(engine_sum "$2" tokens) - tokens))
	cancelled=$(($(engine_sum "$2" cancelled) - cancelled))
	finished=$(($(engine_sum "$2" finished) - finished))
	if [ "$3" = 1 ]; then
		items=$(($(job_done "$2") - before))
		cancel "$2"
	fi
	jq -r --argjson t "$t" --argjson items "$items" --argjson s "$slot_s" \
	    --argjson all "$all_slots" --argjson tokens "$tokens" \
	    --argjson cancelled "$cancelled" --argjson finished "$finished" \
	    '($all * $t - .tokens / 16 * $s) as $free |
	    [.first_token_s.p50 * 1000, .first_token_s.p95 * 1000,
	    .first_token_s.p99 * 1000, .between_tokens_s.p99 * 1000,
	    .requests, .failed, $items / $t, ($finished - .complete) * $s / $free,
	    ($tokens - .tokens) / 16 * $s / $free, $cancelled,
	    .tokens / 16 * $s / ($all * $t)] | map(tostring) | join(" ")' \
	    "$work/load.json" >>"$work/$1.rows"
	say "$1 round $round: $(tail -n 1 "$work/$1.rows")"
	[ "$(jq .failed "$work/load.json")" = 0 ] ||
	    say "failures: $(jq -c .failures "$work/load.json")"
}

# appends PORT HOSTS: jobs of 5,000 items; appends lines to append-HOSTS.rows.
appends() {
	for round in $(seq "$rounds"); do
		a=$(log_stat "$1" appends)
		b=$(log_stat "$1" bytes)
		t=$(now)
		submit "$1" 5000 1 "append-$round"
		n=0
		for _ in $(seq 60); do
			n=$(job_done "$1")
			[ "$n" -ge 5000 ] && break
			sleep 0.2
		done
		t=$(calc "$(now) - $t")
		a=$(($(log_stat "$1" appends) - a))
		b=$(($(log_stat "$1" bytes) - b))
		[ "$n" -ge 5000 ] || cancel "$1"
		[ "$n" -gt 0 ] || fail "no item of the job was done"
		echo "$n $(calc "$n / $t") $(calc "$a / $t")" \
		    "$(calc "1000 * $a / $n") $(calc "$b / $n")" \
		    >>"$work/append-$2.rows"
		say "appends $2 hosts: $(tail -n 1 "$work/append-$2.rows")"
	done
}

# idle FLEET PORT HOSTS: control cost without requests, for each host.
idle() {
	sleep 2
	names="daisypier_peer_sent_bytes_total
	    daisypier_membership_sent_bytes_total daisypier_log_reads_total"
	set -- "$1" "$2" "$3" 8
	before=
	for name in $names; do
		before="$before $(metric "$2" "$3" "$name")"
	done
	r=$(log_stat "$2" reads)
	c=$(cpu "$1" "$3")
	t=$(now)
	sleep "$4"
	c=$(calc "($(cpu "$1" "$3") - $c) * 1000")
	t=$(calc "$(now) - $t")
	r=$(($(log_stat "$2" reads) - r))
	line="$3 $(calc "$c / $t / $3")"
	hosts=$3
	port=$2
	set -- $before
	for name in $names; do
		line="$line $(calc "($(metric "$port" "$hosts" "$name") - $1) \
		    / $t / $hosts")"
		shift
	done
	echo "$line $(calc "$r / $t")" >>"$work/idle.rows"
	say "idle: $(tail -n 1 "$work/idle.rows")"
}

# Both fleets stay below the kernel's range for outgoing connections, which
# begins at 32768: a port of it was in use in one run.
base=$((12000 + $$ % 2000 * 5))
pool=$base
two=$((base + 10000))
say "starting"
fleet pool "$pool" 3 pool
fleet two "$two" 3 two_choices
say "started"

# The slot time of one completion of 16 tokens, measured at an engine alone.
for i in $(seq 5); do
	curl -s -o /dev/null -w '%{time_total}\n' \
	    "http://127.0.0.101:$((two + 3))/v1/completions" \
	    -d '{"model":"tally-lm","prompt":"slot","max_tokens":16}'
done >"$work/slot.rows"
slot_s=$(median "$work/slot.rows" 1)

idle pool "$pool" 3
for round in $(seq "$rounds"); do
	online alone "$pool" 0
	online pool "$pool" 1
	online two_choices "$two" 1
done

for round in $(seq "$rounds"); do
	for kind in "short 300 1" "long 60 64"; do
		set -- $kind
		c=$(cpu pool 3)
		load "$pool" "$2" 3 "$3" 1
		c=$(calc "$(cpu pool 3) - $c")
		echo "$c $(jq -r '"\(.complete) \(.tokens)"' \
		    "$work/load.json")" >>"$work/$1.rows"
		say "$1: $(tail -n 1 "$work/$1.rows")"
	done
	# Two equations: time = requests * R + tokens * T.
	tail -qn 1 "$work/short.rows" "$work/long.rows" | tr '\n' ' ' |
	    awk '{ d = $2 * $6 - $5 * $3; if (d == 0) exit 1
	    printf "%.6g %.6g\n", ($1 * $6 - $4 * $3) / d * 1e6,
	    ($2 * $4 - $5 * $1) / d * 1e6 }' >>"$work/cost.rows"
done

appends "$pool" 3

rss() {
	awk '/^VmRSS/ { print $2 }' "/proc/$(cat "$work/pool-host-$1.pid")/status"
}
say "memory"
for i in 1 2 3; do
	rss $i >"$work/rss-$i"
done
t=$(now)
submit "$pool" 100000 16 memory
t=$(calc "$(now) - $t")
for i in 1 2 3; do
	echo "host-$i $(cat "$work/rss-$i") $(rss $i)"
done >"$work/rss.rows"
# The owner of the job's shard is the host that runs its items.
for i in 1 2 3; do
	echo "host-$i runs $(curl -sf "http://127.0.0.$((10 + i)):$pool/metrics" |
	    awk '$1 == "daisypier_batch_running" { print $2 }') items"
done >"$work/owner.rows"
cancel "$pool"
stop_all

say "13 hosts"
fleet wide "$pool" 13 pool
idle wide "$pool" 13
appends "$pool" 13
stop_all

echo "rounds: $rounds, medians; $engines engines of $slots slots, 10 ms a token,"
echo "30 ms to the first; slot time of 16 tokens measured: $slot_s s"
echo
echo "online at 112/s for 6 s, factor 4 from 3 s to 4 s (more than all slots), 3 hosts,"
echo "16 tokens, deadline 5 s, online_reserve 2"
echo "times in ms; items/s: by the job's count; used: slot time of the batch items"
echo "that the engines finished / slot time online left free; busy: the same from"
echo "all tokens made, those of cancelled items included; online: its own share"
printf '%-12s %8s %8s %8s %9s %8s %7s %8s %6s %6s %9s %8s\n' variant \
    first50 first95 first99 between99 requests failed items/s used busy \
    cancelled online
for name in alone pool two_choices; do
	printf '%-12s' $name
	for column in 1 2 3 4 5 6 7 8 9 10 11; do
		median "$work/$name.rows" $column
		echo
	done | tr '\n' ' ' | awk '{ printf \
	    " %8.1f %8.1f %8.1f %9.1f %8d %7d %8.1f %6.3f %6.3f %9d %8.3f\n",
	    $1, $2, $3, $4, $5, $6, $7, $8, $9, $10, $11 }'
done
for name in pool two_choices; do
	echo "first p99 $name / alone:" \
	    "$(calc "$(median "$work/$name.rows" 3) / $(median "$work/alone.rows" 3)")" \
	    "p50: $(calc "$(median "$work/$name.rows" 1) / $(median "$work/alone.rows" 1)")"
done
echo "each round (columns as above):"
for name in alone pool two_choices; do
	sed "s/^/  $name /" "$work/$name.rows"
done
echo
echo "log service, jobs of 5,000 items of 1 token"
echo "hosts items_done items/s appends/s appends/1000_items log_bytes/item"
for hosts in 3 13; do
	echo "$hosts $(for column in 1 2 3 4 5; do
		echo "$(median "$work/append-$hosts.rows" $column)"
	done | tr '\n' ' ')"
done
echo
echo "memory: RSS in KiB before and after a job of 100,000 items was accepted"
echo "(in $t s); the owner runs the items; the entry host is host-2"
awk '{ print "  " $0 " growth " $3 - $2 }' "$work/rss.rows"
sed 's/^/  /' "$work/owner.rows"
echo
echo "processor time of all hosts, idle cost included: microseconds a request" \
    "$(median "$work/cost.rows" 1), a relayed token $(median "$work/cost.rows" 2)"
sed 's/^/  round: /' "$work/cost.rows"
echo
echo "idle, for each host: hosts, processor ms/s, peer bytes/s, membership"
echo "bytes/s, log reads/s; then the reads/s that the log service counted"
sed 's/^/  /' "$work/idle.rows"
