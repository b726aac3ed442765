#!/bin/sh
# Builds the programs of the cases from 11 on into build/review-3.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-3
for case in review/1[1-5]/case.c; do
	number=$(basename "$(dirname "$case")")
	cc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Ireview/common-3 \
	    -o "build/review-3/case-$number" \
	    "$case" review/common-3/*.c -lpthread
done
