#!/bin/bash
# Builds the stand-in of the platform that the cases 11 to 15 start, into target/review-3.
# Run it after the build of the deploy file. It needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release
ninja -C target chervilslip_stand_in
mkdir -p target/review-3
mapfile -t archives < <(find target -name 'libchervilslip*.a' | sort)
g++ -std=c++20 -O1 -I. -Isrc -o target/review-3/chervilslip-stand-in \
    review/lib-3/stand_in_main.cpp -Wl,--start-group "${archives[@]}" -Wl,--end-group \
    -lprometheus-cpp-core -llog4cplus -lssl -lcrypto -lpthread
