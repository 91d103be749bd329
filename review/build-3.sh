#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
compile() {
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -c "$1" -o "target/review-3/$2.o"
}
for source in http executor deployment; do
  compile "review/harness-3/$source.cc" "$source" &
done
for main in review/1[1-5]/main.cc; do
  [ -f "$main" ] || continue
  compile "$main" "case-$(basename "$(dirname "$main")")" &
done
wait
for object in target/review-3/case-*.o; do
  g++ -pthread "$object" target/review-3/{http,executor,deployment}.o -o "${object%.o}"
done
