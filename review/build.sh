#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into target/review. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
find review -name '*.java' -print0 | xargs -0 javac --release 17 -Xlint:all -d target/review
