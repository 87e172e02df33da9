#!/usr/bin/env bash
# Plays the case "refuted". Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/basilraild ] && [ -x target/review-standin ] || { echo "build the deploy file and review/build.sh first" >&2; exit 2; }
exec target/review-standin refuted target/basilraild review/3/record.txt
