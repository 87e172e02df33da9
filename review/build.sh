#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start, this folder, into target/.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review
