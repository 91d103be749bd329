#!/usr/bin/env bash
# Builds the stand-ins and the cases of the review into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case_folder in review/[1-5]; do
  [ -f "$case_folder/case.cc" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread \
    -o "target/review/case_$(basename "$case_folder")" \
    "$case_folder/case.cc" review/stand_ins/*.cc
done
