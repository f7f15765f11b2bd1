#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 runs it without the disruption. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run.
set -euo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
[ -f target/platform/figspand.jar ] && [ -f target/review-3/Case15.class ] || exit 2
temporary="$(mktemp -d)" || exit 2
trap 'rm -rf "$temporary"' EXIT
# The descriptors of a machine of the sheet.
ulimit -n 4100 || true
status=0
timeout 110 java -Xmx512m -cp target/review-3 Case15 "${TROUBLE:-1}" "$temporary" "$folder/record.txt" || status=$?
case "$status" in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
