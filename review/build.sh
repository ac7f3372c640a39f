#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start, into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/src/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -Ireview "$source" -o "target/review/$name"
done
