#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/target/.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac --release 17 -d target standins/review/*.java
