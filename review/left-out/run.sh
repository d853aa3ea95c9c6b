#!/usr/bin/env bash
# Runs a test that is not among the five cases: run.sh CutWatch or run.sh LastTenant, after review/build.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the test could not run.
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
cd "$here/../.." || exit 2
name="${1:-CutWatch}"
[ -e "target/review/$name.class" ] && [ -e target/skylarkstile-gateway.jar ] || { echo "run bin/build-gateway and review/build.sh first"; exit 2; }
exec java -Xmx256m -cp target/review "$name" "$here"
