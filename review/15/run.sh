#!/usr/bin/env bash
# Plays the case and writes record.txt beside this script. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/standin-3 hidden review/15/record.txt
