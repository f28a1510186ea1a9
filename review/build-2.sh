#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/second/, with the libraries that the build line of the
# deploy file has left in target/. Run that line first.
set -euo pipefail
cd "$(dirname "$0")/.."
[[ -x target/app/ibislock ]] || { echo "run the build line of deploy/system.toml first" >&2; exit 2; }
out=target/second
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -Ilibs/base/include
       -Ilibs/http/include -Ilibs/net/include)
libraries=(target/libs/net/libibislock_net.a target/libs/http/libibislock_http.a target/libs/base/libibislock_base.a
           target/libibislock_easylogging.a -lhttp_parser -lcrypto -linih -lpthread)
pids=()
for source in review/second/*.cpp lab/child_process.cpp; do
    g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
    pids+=($!)
done
for case in review/{6,7,8,9,10}/case.cpp; do
    [[ -e $case ]] || continue
    g++ "${flags[@]}" -c "$case" -o "$out/case-$(basename "$(dirname "$case")").main.o" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
objects=()
for object in "$out"/*.o; do
    [[ $object == *.main.o ]] || objects+=("$object")
done
for main in "$out"/*.main.o; do
    g++ "$main" "${objects[@]}" "${libraries[@]}" -o "${main%.main.o}"
done
echo "second review: built"
