#!/usr/bin/env bash
# Plays the case "forgot" of the second review; claim.txt says what it shows. It needs the build of the deploy
# file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/basilraild ] && [ -x target/review-2/stage ] || exit 2
exec target/review-2/stage forgot review/10/record.txt
