#!/usr/bin/env bash
# Plays this case, see claim.txt. Exits with 1 if the rule was broken, 0 if it held and 2 if the
# case could not run. With TROUBLE=0 it leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/marjoramd ] && [ -x target/review-stand2 ] || { echo "build the programs first" >&2; exit 2; }
REVIEW_ROOT=. exec target/review-stand2 part-after-events review/14/record.txt
