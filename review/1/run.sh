#!/usr/bin/env bash
# One runner answers one prompt with bytes that are no answer, without end. Needs the build of the deploy file and
# review/build.sh. Takes about 30 seconds. TROUBLE=0 leaves out the faulty answer.
set -euo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
[ -f target/platform/figspand.jar ] || { echo "build first, as deploy/system.toml says"; exit 2; }
[ -f target/review/io/figspan/review/EndlessBody.class ] || { echo "run review/build.sh first"; exit 2; }
exec java -Xmx512m -cp target/review io.figspan.review.EndlessBody "$folder/record.txt"
