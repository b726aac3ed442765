#!/bin/sh
# Builds the stand-ins and drivers of the cases 6 to 10, with the C library
# only. To be run in the repository's root after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for case in review/[6-9] review/10; do
	if [ -f "$case/case.c" ]; then
		gcc -std=gnu11 -O2 -g -Wall -Wextra -pthread \
		    -o "build/review-2/case-${case#review/}" \
		    "$case/case.c" review/common-2/rig.c
	fi
done
