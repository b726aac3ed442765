#!/bin/sh
# Runs every test program of a build folder and prints one closing line.
# A test that KNOWN-RED.txt lists as "TEST: ..." at the start of a line is run
# and reported, and does not change the verdict.
build=${1:-build/san}
jobs=${TEST_JOBS:-3}
# Crowds of clients: they need many descriptors and the whole machine, and would
# disturb other tests.
alone="test_fail_crowd test_fail_idle_crowd"
passed=0
failed=0
known=0

run_tests() {
	xargs -P "$1" -n 1 sh -c '
	DAISYPIER_BUILD=$0 timeout 400 "$0/tests/$1" >"$0/tests/$1.log" 2>&1
	echo $? >"$0/tests/$1.rc"' "$build"
}

is_alone() {
	case " $alone " in
	*" $1 "*) return 0 ;;
	esac
	return 1
}

# Several at a time: most of their time the tests with processes wait.
for source in tests/test_*.c; do
	name=$(basename "$source" .c)
	is_alone "$name" || echo "$name"
done | run_tests "$jobs"
printf '%s\n' $alone | run_tests 1

for source in tests/test_*.c; do
	name=$(basename "$source" .c)
	rc=$(cat "$build/tests/$name.rc" 2>/dev/null || echo 99)
	if [ "$rc" -eq 0 ]; then
		passed=$((passed + 1))
		echo "ok      $name"
	elif [ -f KNOWN-RED.txt ] && grep -q "^$name:" KNOWN-RED.txt; then
		known=$((known + 1))
		echo "known   $(grep "^$name:" KNOWN-RED.txt)"
	else
		failed=$((failed + 1))
		echo "FAILED  $name (exit code $rc)"
		grep -vE ' (shard|component)_[a-z]* ' "$build/tests/$name.log" |
		    tail -n 80
	fi
done
[ $known -eq 0 ] || echo "$known listed in KNOWN-RED.txt"
echo "$passed passed, $failed failed"
[ $failed -eq 0 ]
