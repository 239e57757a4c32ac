#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-lab ] || { echo "run review/build.sh first"; exit 2; }
exec target/review-lab unconfirmed-holder review/2/record.txt
