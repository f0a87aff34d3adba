#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15, a module of its own that
# uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")/third/standin"
mkdir -p ../../../target/review-3
GOWORK=off go build -o ../../../target/review-3/standin .
