#!/bin/sh
# Case 12; see claim.txt. TROUBLE=0: no answer is spoiled.
cd "$(dirname "$0")/../.." || exit 2
RECORD=review/12/record.txt exec build/review-3/case-12
