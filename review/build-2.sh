#!/usr/bin/env bash
# Builds the program that plays the scripts of the second review: the stand-ins of the store, of the
# backend servers and of the clients.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/stage
