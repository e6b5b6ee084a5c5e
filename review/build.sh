#!/bin/sh
# Compiles the stand-ins of all scripts; needs only the JDK.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review $(find review -name '*.java')
