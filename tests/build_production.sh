#!/usr/bin/env bash
# Builds the version that runs in production, for the tests that upgrade from it or go back to it. The source is taken
# from the repository's history, at the commit that deploy/service.toml names.
# Usage: build_production.sh SOURCE_DIR BUILD_DIR
set -euo pipefail
source_dir=$1
build_dir=$2
commit=$(sed -n 's/^production = "\([0-9a-f]*\)"$/\1/p' "$source_dir/deploy/service.toml")
[ -n "$commit" ] || { echo "deploy/service.toml has no production commit" >&2; exit 1; }
if ! git -C "$source_dir" cat-file -e "$commit^{commit}"; then
    echo "production commit $commit is missing from this clone; fetch the full history" >&2
    exit 1
fi
if [ "$(cat "$build_dir/commit" 2>/dev/null)" != "$commit" ]; then
    rm -rf "$build_dir"
    mkdir -p "$build_dir"
    git -C "$source_dir" archive "$commit" CMakeLists.txt src | tar -x -C "$build_dir"
fi
cmake -S "$build_dir" -B "$build_dir/target" -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build "$build_dir/target" -j4 >/dev/null
test -x "$build_dir/target/fieldfield"
echo "$commit" >"$build_dir/commit"
