#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/src-2/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/lib-2 "$source" \
        -o "target/review-2/$(basename "$source" .cpp)"
done
