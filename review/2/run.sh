#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/stand ] && [ -x target/marjoramd ] || exit 2
exec review/bin/stand start review/2/record.txt
