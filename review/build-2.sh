#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review. Needs a JDK 17; no network, no libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
find review/rig-2 review/6 review/7 review/8 review/9 review/10 -name '*.java' 2>/dev/null > target/review-2.sources || true
javac -nowarn -d target/review-2 @target/review-2.sources
