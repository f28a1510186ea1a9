#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/, with packages that the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
compile=(g++ -std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers)
shared=()
for source in http record store runner daemons callers scene; do
    "${compile[@]}" -c "review/$source.cpp" -o "target/review/$source.o"
    shared+=("target/review/$source.o")
done
for source in review/*.cpp; do
    name=$(basename "$source" .cpp)
    grep -q '^int main' "$source" || continue
    "${compile[@]}" "$source" "${shared[@]}" -lcrypto -pthread -o "target/review/$name"
done
