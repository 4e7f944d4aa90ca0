#!/usr/bin/env bash
# Builds the stand-ins of the review into review/target/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
for source in standins/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/$(basename "$source" .cpp)" "$source"
done
