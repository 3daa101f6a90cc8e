#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build/. They are C++20 with the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in stand_in/*.cpp; do
    g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "build/$(basename "$source" .cpp)" "$source"
done
