#!/bin/sh
# Builds the programs of the scripts in review/6 to review/10 into target/review-2/. Needs a C++20 compiler and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    [ "$number" -ge 6 ] || continue
    "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/$number"
done
