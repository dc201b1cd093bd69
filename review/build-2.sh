#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with the JDK alone. They start no program of testkit/.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/target/standin-2
mkdir -p review/target/standin-2
javac -d review/target/standin-2 review/standin-2/*.java
