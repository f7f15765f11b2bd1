#!/usr/bin/env bash
# Runs one case: run-case.sh N. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -euo pipefail
cd "$(dirname "$0")/../.."
case_number="$1"
work="$(mktemp -d)" || exit 2
trap 'rm -rf "$work"' EXIT
# The descriptors of the smallest machine of the sheets.
ulimit -n 4100 || true
status=0
timeout 110 java -Xmx512m -cp target/review-3 "Case$case_number" "${TROUBLE:-1}" "$work" \
    "review/$case_number/record.txt" || status=$?
case "$status" in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
