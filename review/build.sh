#!/usr/bin/env bash
# Builds the programs that the scripts of the cases start, stand-ins included.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/main.go; do
  name=$(basename "$(dirname "$case")")
  go build -o "target/review/case-$name" "./review/$name"
done
