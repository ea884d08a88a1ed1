#!/bin/sh
# Builds the stand-ins and the cases of review/ with the JDK alone. Run from anywhere.
set -e
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -Xlint:all -d build src/*.java
