#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases from 6 on into target/review-2; needs a JDK 17 and nothing else.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
sources=(review/harness-2/*.java)
for folder in review/6 review/7 review/8 review/9 review/10; do
  for file in "$folder"/*.java; do [ -f "$file" ] && sources+=("$file"); done
done
javac -nowarn -d target/review-2 "${sources[@]}"
