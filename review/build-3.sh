#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start, into target/review-3. Needs the
# JDK only. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -encoding UTF-8 -d target/review-3 review/stand-ins-3/*.java
# Cases 14 and 15 run programs of the second review, which have no case there.
mkdir -p target/review-3/entries
javac -encoding UTF-8 -d target/review-3/entries review/src-2/*.java
