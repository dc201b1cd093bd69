#!/usr/bin/env bash
# Builds the stand-ins of all scripts with the JDK alone. The project itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac -Xlint:-options -d target/classes standin/*.java
