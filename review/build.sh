#!/usr/bin/env bash
# Builds the stand-ins of the scripts below review/. They need the C++ compiler
# and the C library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for it in review/[1-9]/case.cpp; do
  [[ -e $it ]] || continue
  n=$(basename "$(dirname "$it")")
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -Ireview/common "$it" \
    -o "target/review/case$n"
done
