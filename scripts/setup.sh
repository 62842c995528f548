#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the lint need; does nothing when all are there.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache make python3 git ca-certificates
    clang clang-format clang-tidy
    libboost-dev libboost-system-dev nlohmann-json3-dev
    prometheus-cpp-dev libtclap-dev liblog4cplus-dev libssl-dev
    libmsgpack-cxx-dev libcriterion-dev libbenchmark-dev
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done

if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi

run_as_root=()
if [ "$(id -u)" -ne 0 ]; then
    run_as_root=(sudo)
fi
echo "setup: installing ${missing[*]}"
"${run_as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${run_as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
