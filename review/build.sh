#!/usr/bin/env bash
# Builds the stand-ins and the program of each case into build-review/. Needs g++ and nlohmann-json, like the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review
rm -f build-review/case-*
for case in review/*/case.cpp; do
    name=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build-review/case-$name" "$case" review/standins/*.cpp &
done
wait
for case in review/*/case.cpp; do
    test -x "build-review/case-$(basename "$(dirname "$case")")"
done
