#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2/. The gateway itself is
# built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in review/standins-2/*_case.cpp; do
    name=$(basename "$program" _case.cpp)
    ${CXX:-g++} -std=c++20 -O1 -g -pthread "$program" review/standins-2/fleet.cpp \
        -o "target/review-2/$name"
done
