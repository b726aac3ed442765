#!/bin/sh
# Runs hosts of two commits as one fleet: mixed.sh OLD NEW [FOLDER]
# Every second host starts from OLD and the others from NEW; each restart of a
# host changes its build, so the soak's kills and planned stops replace hosts in
# both directions under load. The stand-ins, the soak and the tests are NEW's.
# Guards against a change of messages between hosts, of stored records or of
# settings that a single build cannot show.
set -eu
old=$1
new=$2
dir=${3:-$(mktemp -d)}
programs="daisypier-gateway daisypierd"
tests="test_fail_jobs test_fail_stop test_fail_config test_fail_online
    test_fail_gateway"

build() { # COMMIT FOLDER
	rm -rf "$2"
	mkdir -p "$2"
	git archive "$1" | tar -x -C "$2"
}

build "$old" "$dir/old"
build "$new" "$dir/new"
make -s -C "$dir/old" -j4 all >/dev/null
targets="all build/soak"
for test in $tests; do
	targets="$targets build/tests/$test"
done
make -s -C "$dir/new" -j4 $targets >/dev/null

mixed=$dir/mixed
rm -rf "$mixed"
mkdir -p "$mixed/starts"
find "$dir/new/build" -maxdepth 1 -type f -perm -u+x -exec cp {} "$mixed/" \;
for program in $programs; do
	rm -f "$mixed/$program"
	cat >"$mixed/$program" <<WRAPPER
#!/bin/sh
# The host's number and the number of its starts choose the build.
file=
for arg in "\$@"; do
	case \$arg in */*) file=\$arg ;; esac
done
name=\$(basename "\${file:-none}")
starts=$mixed/starts/$program-\$name
echo . >>"\$starts"
host=\$(echo "\$name" | tr -cd 0-9 | tail -c 2 | sed 's/^0*//')
if [ \$(((\${host:-0} + \$(wc -l <"\$starts")) % 2)) -eq 0 ]; then
	echo old >>"$mixed/starts/builds"
	exec "$dir/old/build/$program" "\$@"
fi
echo new >>"$mixed/starts/builds"
exec "$dir/new/build/$program" "\$@"
WRAPPER
	chmod +x "$mixed/$program"
done

failed=0
cd "$dir/new"
for seed in ${SEEDS:-1 2}; do
	DAISYPIER_BUILD=$mixed build/soak --seed "$seed" \
	    --seconds "${SOAK_SECONDS:-20}" >"$dir/soak-$seed.log" 2>&1 ||
	    failed=$((failed + 1))
	grep -E '^(seed=|FAILED|violation)|passed' "$dir/soak-$seed.log" || true
done
for test in $tests; do
	if DAISYPIER_BUILD=$mixed build/tests/$test >"$dir/$test.log" 2>&1; then
		echo "passed  $test"
	else
		echo "FAILED  $test"
		failed=$((failed + 1))
	fi
done
echo "host starts: $(grep -c old "$mixed/starts/builds") of $old," \
    "$(grep -c new "$mixed/starts/builds") of $new"
[ "$failed" -eq 0 ]
