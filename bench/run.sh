#!/bin/sh
# Runs every benchmark of a build folder, or those named after it, and writes
# bench/results/NAME.txt. The name "system" stands for bench/system.sh. Counts
# and ratios compare between machines; times of one run do not.
set -eu
build=${1:-build}
[ $# -gt 0 ] && shift
seed=${SEED:-1}
mkdir -p bench/results
if [ $# -eq 0 ]; then
	for source in bench/bench_*.c; do
		set -- "$@" "$(basename "$source" .c)"
	done
	set -- "$@" system
fi
for name in "$@"; do
	out=bench/results/${name#bench_}.txt
	case $name in
	system) command="sh bench/system.sh $build $seed" ;;
	*) command="$build/bench/$name $seed" ;;
	esac
	{
		echo "command: $command"
		echo "seed: $seed"
		echo "cores: $(nproc)"
		echo "commit: $(git rev-parse --short HEAD 2>/dev/null || echo -)"
	} >"$out.new"
	echo "running $name"
	timeout 600 $command >>"$out.new"
	mv "$out.new" "$out"
	cat "$out"
done
