#!/bin/sh
# Runs every test program of a build folder and prints one closing line.
# A test that KNOWN-RED.txt lists as "TEST: ..." at the start of a line is run
# and reported, and does not change the verdict.
build=${1:-build/san}
passed=0
failed=0
known=0
for source in tests/test_*.c; do
	name=$(basename "$source" .c)
	log=$build/tests/$name.log
	DAISYPIER_BUILD=$build timeout 300 "$build/tests/$name" >"$log" 2>&1
	rc=$?
	if [ $rc -eq 0 ]; then
		passed=$((passed + 1))
		echo "ok      $name"
	elif [ -f KNOWN-RED.txt ] && grep -q "^$name:" KNOWN-RED.txt; then
		known=$((known + 1))
		echo "known   $name: $(grep "^$name:" KNOWN-RED.txt)"
	else
		failed=$((failed + 1))
		echo "FAILED  $name (exit code $rc)"
		tail -n 60 "$log"
	fi
done
[ $known -eq 0 ] || echo "$known listed in KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
