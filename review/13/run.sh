#!/bin/sh
# Case 13; see claim.txt. TROUBLE=0: no write is carried out late.
cd "$(dirname "$0")/../.." || exit 2
RECORD=review/13/record.txt exec build/review-3/case-13
