#!/usr/bin/env bash
# Compiles the stand-ins and cases of the review with the JDK's own compiler into target/review.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review
mkdir -p target/review
sources=(review/harness/*.java)
for folder in review/[1-5] review/left-out; do
    for source in "$folder"/*.java; do
        [ -e "$source" ] && sources+=("$source")
    done
done
javac -nowarn -d target/review "${sources[@]}"
