#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into
# target/review-2. Needs only the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in executor http_call proxy; do
  # shellcheck disable=SC2046  # The flags are several words.
  "${CXX:-g++}" -std=c++20 -O1 -o "target/review-2/$program" \
    "review/stand_ins_2/$program.cc" $(pkg-config --cflags --libs cpp-httplib) -lpthread
done
