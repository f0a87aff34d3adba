#!/usr/bin/env bash
# Builds the stand-in that the scripts of the second review start. It needs no other module.
set -eu
cd "$(dirname "$0")/second/standin"
mkdir -p ../../../target
GOFLAGS=-mod=mod GOWORK=off go build -o ../../../target/review-standin-2 .
