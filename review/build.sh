#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review/standin .
