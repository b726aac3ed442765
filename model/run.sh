#!/bin/sh
# Searches every state of each model in its bounds, then turns each mechanism
# off and fails unless spin finds the violation that the mechanism prevents.
set -eu
models=$(dirname "$0")
# The model that search() and variant() use.
model=$models/shard.pml
work=${MODEL_BUILD:-build/model}
failed=0
total=0
mkdir -p "$work"

# Bounds: records, late appends, claims, and for snapshots expiries and
# snapshots. They are as large as three minutes and 4 GB in all allow.
jobs='-DCFG=1 -DLOGMAX=6 -DLATE=1 -DCLAIMS=2'
jobs_late='-DCFG=1 -DLOGMAX=6 -DLATE=2 -DCLAIMS=2'
jobs_claims='-DCFG=1 -DLOGMAX=6 -DLATE=1 -DCLAIMS=3'
cancel='-DCFG=2 -DLOGMAX=6 -DLATE=1 -DCLAIMS=2'
cancel_long='-DCFG=2 -DLOGMAX=7 -DLATE=1 -DCLAIMS=2'
snapshot='-DCFG=3 -DLOGMAX=6 -DLATE=1 -DCLAIMS=1 -DEXPIRIES=1'
snapshot_long='-DCFG=3 -DLOGMAX=7 -DLATE=1 -DCLAIMS=1 -DEXPIRIES=1
    -DSNAPSHOTS=1'
intent='-DCFG=4 -DLOGMAX=6 -DLATE=1 -DCLAIMS=2'
intent_late='-DCFG=4 -DLOGMAX=6 -DLATE=2 -DCLAIMS=2'
intent_long='-DCFG=4 -DLOGMAX=8 -DLATE=1 -DCLAIMS=2'

# search OPTIMISATION NAME DEFINITION...: leaves the checker's output in
# $work/NAME/result.
search() {
	optimisation=$1
	name=$2
	shift 2
	rm -rf "${work:?}/$name"
	mkdir -p "$work/$name"
	# Spin takes a line marker of its own preprocessor call for a statement's
	# end, so the text is preprocessed here.
	cpp -P -undef "$@" "$model" >"$work/$name/model.pml"
	(
		cd "$work/$name"
		spin -a model.pml >spin.log
		# -w: the warnings are about spin's generated code.
		gcc -w "$optimisation" -DSAFETY -DCOLLAPSE -DMEMLIM=2500 \
		    -o pan pan.c
		./pan -m10000 -w24 -E >result 2>&1 || true
	)
}

# A depth limit or an exhausted memory makes a search incomplete.
is_complete() {
	! grep -qE 'max search depth too small|out of memory|Search not comp' \
	    "$1" && grep -q 'State-vector' "$1"
}

states() {
	grep 'states, stored' "$1" | awk '{ printf "%.0f", $1 }'
}

# judge NAME: reports a search of the model as designed.
judge() {
	result=$work/$1/result
	count=$(states "$result")
	if is_complete "$result" && grep -q 'errors: 0' "$result"; then
		echo "ok      $1: $count states, no violation"
		total=$((total + count))
	else
		echo "FAILED  $1"
		head -n 20 "$result"
		failed=$((failed + 1))
	fi
}

# variant NAME SWITCH DEFINITION...
variant() {
	name=$1_$2
	switch=$2
	shift 2
	# Found within seconds: the compiler would take longer to optimise.
	search -O0 "$name" "-D$switch" "$@"
	result=$work/$name/result
	if grep -q 'assertion violated' "$result"; then
		echo "ok      $name: $(grep -o 'assertion violated.*' \
		    "$result" | cut -c 1-60)"
	else
		echo "FAILED  $name: no violation in $(states "$result") states"
		failed=$((failed + 1))
	fi
}

echo "The protocol as designed:"
# Three at a time keep below 4 GB.
# shellcheck disable=SC2086
{
	(
		search -O2 jobs_late $jobs_late
		search -O2 intent_late $intent_late
	) &
	one=$!
	(
		search -O2 snapshot $snapshot
		search -O2 intent_long $intent_long
	) &
	two=$!
	search -O2 jobs_claims $jobs_claims
	search -O2 cancel_long $cancel_long
	search -O2 snapshot_long $snapshot_long
	wait $one $two
}
for name in jobs_late jobs_claims cancel_long snapshot snapshot_long \
    intent_late intent_long; do
	judge $name
done
echo "The goals are reached (a violation is expected at each):"
# shellcheck disable=SC2086
{
	variant jobs REACH $jobs
	variant cancel REACH $cancel
	variant snapshot REACH $snapshot
	variant intent REACH $intent
}
echo "One mechanism off (a violation is expected for each):"
# shellcheck disable=SC2086
{
	for switch in NO_READ_BACK NO_FENCING NO_SEQ NO_VOID; do
		variant jobs $switch $jobs
	done
	for switch in NO_READ_BACK NO_FENCING NO_FRESH_READ \
	    NO_TAKEOVER_WAIT; do
		variant cancel $switch $cancel
	done
	for switch in NO_COVERED_RULE NO_GAP_CHECK NO_COMPLETE_RULE \
	    NO_SNAPSHOT_SEQ NO_APPLY_AFTER_COVERED; do
		variant snapshot $switch $snapshot
	done
	for switch in NO_INTENT NO_REQUEST_CHECK NO_READ_BACK; do
		variant intent $switch $intent
	done
}
echo "Results longer than a record:"
model=$models/job_results.pml
search -O2 job_results
judge job_results
for switch in REACH ONE_RECORD NO_CONDITION RESULT_FIRST NO_COMPARISON \
    NO_ORDER; do
	variant job_results $switch
done
echo "Late copies of responses:"
model=$models/late_copies.pml
search -O2 late_copies
judge late_copies
for switch in REACH KEPT_CONNECTION FORGOTTEN_ATTEMPTS; do
	variant late_copies $switch
done
echo "Late entries of endpoints that leave:"
model=$models/leaving_entries.pml
search -O2 leaving_entries
judge leaving_entries
for switch in REACH LOG_ORDER FORGET_AT_REMOVAL NO_START NO_BELIEF \
    SECOND_ENTRY LATE_AT_SET_BACK; do
	variant leaving_entries $switch
done
echo "$total states searched, $failed failed"
[ $failed -eq 0 ]
