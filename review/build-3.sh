#!/bin/sh
# Builds the stand-ins and drivers of the cases 11 to 15 into target/review-3.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cpp; do
    g++ -std=c++20 -O1 -Wall -pthread "$source" -o "target/review-3/$(basename "$source" .cpp)"
done
