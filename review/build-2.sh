#!/bin/bash
# Builds the stand-ins of the second review into target/review-2; needs the JDK only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -encoding UTF-8 -d target/review-2 review/src-2/*.java
