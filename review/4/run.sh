#!/bin/sh
# Run in the repository's root: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves out the disruption.
exec target/review/case-4 review/4/record.txt
