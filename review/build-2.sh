#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into target/review-2. They need the
# C++ compiler and the C library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for n in 6 7 8 9 10; do
  [[ -e review/$n/scenario.cpp ]] || continue
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -I review/standins-2 \
    "review/$n/scenario.cpp" -o "target/review-2/case-$n"
done
