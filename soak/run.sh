#!/bin/sh
# Runs the fault soak for each seed in turn and prints one closing line. Even
# seeds run with organisations, multiples of three with crowds of clients outside
# the limits, so that a seed alone names its run. A seed that KNOWN-RED.txt lists
# as "soak SEED: ..." is run and reported, and does not change the verdict.
build=$1
seconds=$2
shift 2
passed=0
failed=0

for seed in "$@"; do
	log="$build/soak-$seed.log"
	orgs=
	crowd=
	[ $((seed % 2)) -ne 0 ] || orgs=--orgs
	[ $((seed % 3)) -ne 0 ] || crowd=--crowd
	if DAISYPIER_BUILD=$build "$build/soak" --seed "$seed" \
	    --seconds "$seconds" $orgs $crowd >"$log" 2>&1; then
		passed=$((passed + 1))
	elif [ -f KNOWN-RED.txt ] && grep -q "^soak $seed:" KNOWN-RED.txt; then
		echo "known   $(grep "^soak $seed:" KNOWN-RED.txt)"
	else
		failed=$((failed + 1))
		echo "FAILED  soak seed $seed"
		grep -E "^(violation|FAILED|fault)" "$log" | tail -n 40
	fi
	grep "^seed=" "$log"
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
