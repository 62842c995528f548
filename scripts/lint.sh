#!/usr/bin/env bash
# Checks the format of all sources and runs the linter over every source file but the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
lint_build="${1:-build}-lint"

git ls-files --cached --others --exclude-standard 'src/*.h' 'src/*.cpp' 'platform/*.h' 'platform/*.cpp' \
    | xargs clang-format --dry-run --Werror

# The linter's compiler cannot read the precompiled header of the build's compiler.
cmake -S . -B "$lint_build" -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON >/dev/null
git ls-files --cached --others --exclude-standard 'src/*.cpp' 'platform/*.cpp' | grep -v '/tests/' \
    | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$lint_build" 2>/dev/null
echo "lint: clean"
