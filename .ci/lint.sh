#!/usr/bin/env bash
# Runs clang-tidy over src and testbed, several files at once; .clang-tidy has the checks, and every finding is an error.
#   lint.sh BUILD-DIRECTORY
set -euo pipefail
build=$1
# Files that are not clean yet, one a line; docs/ROADMAP.md says what each lacks.
not_clean=.ci/not-linted.txt
# Boost.Asio 1.74 asks of clang to be told that it has coroutines; the standard library's own sort warns of what it uses.
git ls-files 'src/*.cpp' 'testbed/*.cpp' | { grep -vxFf "$not_clean" || true; } |
  xargs -P "$(nproc)" -n 2 clang-tidy-19 -p "$build" --quiet --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 --extra-arg=-Wno-deprecated-declarations
