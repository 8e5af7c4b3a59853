#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x target/review-standin-2 ] && [ -x target/fulmarfall ] || exit 2
target/review-standin-2 --folder "$folder" --record review/9/record.txt --trouble="$trouble" rebirth
exit $?
