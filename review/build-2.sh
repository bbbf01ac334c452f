#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -Werror --release 17 -encoding UTF-8 -d target/review-2 review/standins-2/*.java
