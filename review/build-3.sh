#!/usr/bin/env bash
# Compiles the cases of review/11 to 15, and the stand-ins that they share (review/11), with the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -encoding UTF-8 --release 17 -Xlint:all -d target/review-3 review/11/*.java review/12/*.java review/13/*.java review/14/*.java review/15/*.java
