#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
[ -x target/corneltiller ] && [ -x target/review-3/standin ] || { echo "not built"; exit 2; }
exec target/review-3/standin late-reserve "$folder/record.txt"
