#!/usr/bin/env bash
# Compiles the stand-ins and the cases with the machine's JDK; needs nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p .build
javac -Xlint:all -d .build rig/*.java
