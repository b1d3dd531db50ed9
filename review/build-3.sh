#!/bin/sh
# Builds the stand-ins of the cases 11 and later.
set -e
cd "$(dirname "$0")/.."
go build -o target/deck ./review/deck
