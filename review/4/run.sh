#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
[ -x target/fulmarfall ] && [ -x target/review/standin ] || { echo "build first: the build line of deploy/system.toml, and review/build.sh"; exit 2; }
exec target/review/standin crash "$folder"
