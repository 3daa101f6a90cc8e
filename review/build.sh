#!/usr/bin/env bash
# Builds the stand-ins of each case into its folder. They are C++20 with the standard library only; review/kit.h is what they share.
set -euo pipefail
cd "$(dirname "$0")"
for source in [1-5]/*.cpp; do
    g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "$(dirname "$source")/stand_in" "$source"
done
