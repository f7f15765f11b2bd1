#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the third review; needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -encoding UTF-8 --release 17 -Xlint:all -d target/review-3 review/standins-3/*.java review/1[1-5]/*.java
