#!/bin/sh
# Builds the stand-in that the scripts of the second review start.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-standin-2 ./review/standin2
