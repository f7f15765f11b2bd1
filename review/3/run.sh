#!/usr/bin/env bash
# One part of some prompts crashes each runner that begins to write on it; it is the eighteenth part. Needs the build
# of the deploy file and review/build.sh. Takes about 50 seconds. TROUBLE=0 leaves out the deadly prompts.
set -euo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
[ -f target/platform/figspand.jar ] || { echo "build first, as deploy/system.toml says"; exit 2; }
[ -f target/review/io/figspan/review/DeadlyDeepPart.class ] || { echo "run review/build.sh first"; exit 2; }
exec java -Xmx512m -cp target/review io.figspan.review.DeadlyDeepPart "$folder/record.txt"
