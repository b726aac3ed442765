#!/bin/sh
# Case 14; see claim.txt. TROUBLE=0: the part crashes no server.
cd "$(dirname "$0")/../.." || exit 2
RECORD=review/14/record.txt exec build/review-3/case-14
