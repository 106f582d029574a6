#!/bin/sh
# Builds the programs of the scripts in review/6 to review/10, with the compiler alone: they use no
# libraries. The scripts also need the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/[6-9]/case.rs review/10/case.rs; do
    [ -f "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O "$case" -o "target/review-2/case-$number"
done
