#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases in review/6 and later into target/review-2, with the JDK alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -Xlint:all,-try -Werror --release 17 -d target/review-2 review/6/*.java review/7/*.java review/8/*.java review/9/*.java review/10/*.java
