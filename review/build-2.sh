#!/bin/sh
# Builds the stand-ins and the cases of the second review into target/review-2. Needs the packages of the deploy file.
set -e
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra $(pkg-config --cflags glib-2.0 libcjson)"
libraries="$(pkg-config --libs glib-2.0 libcjson) -lpthread -lm"
for case in review/[4-8]/case.c; do
    [ -f "$case" ] || continue
    number=$(basename "$(dirname "$case")")
    gcc $flags "$case" review/lib-2/world.c review/lib-2/net.c -o "$out/case-$number" $libraries
done
