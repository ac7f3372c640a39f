#!/bin/sh
# Builds the stand-ins of the third review into target/review-3/, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cmake -S review/stand_in_3 -B target/review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-3
