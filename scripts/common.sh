# Paths, package installation and the build, for the other scripts to source.
set -euo pipefail

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
build="${POMELOROUTER_BUILD_DIR:-$root/build/release}"

packages=(g++ cmake ninja-build ccache curl
    libboost1.81-dev libboost-json1.81-dev libboost-log1.81-dev libboost-program-options1.81-dev
    libboost-thread1.81-dev libthrift-dev doctest-dev libxxhash-dev python3)

fail() {
    echo "error: $*" >&2
    exit 1
}

# install_packages [PACKAGE...]: installs the packages of the build and the given ones if missing.
install_packages() {
    local missing=()
    for package in "${packages[@]}" "$@"; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' ||
            missing+=("$package")
    done
    [ ${#missing[@]} -eq 0 ] && return 0
    echo "installing: ${missing[*]}"
    local sudo=()
    [ "$(id -u)" -eq 0 ] || sudo=(sudo)
    "${sudo[@]}" apt-get update -q >/dev/null || fail "apt-get update failed"
    DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -q -y --no-install-recommends \
        "${missing[@]}" >/dev/null || fail "could not install: ${missing[*]}"
}

# build_tree DIRECTORY [CMAKE_OPTION...]: configures and builds all targets in DIRECTORY. Warnings
# are errors here, unlike in the build of an installation, whose compiler may have other warnings.
build_tree() {
    local directory="$1"
    shift
    mkdir -p "$directory"
    cmake -S "$root" -B "$directory" -G Ninja -DPOMELOROUTER_WERROR=ON "$@" >"$directory/configure.log" 2>&1 ||
        { tail -30 "$directory/configure.log" >&2; fail "cmake failed in $directory"; }
    cmake --build "$directory" --parallel "${POMELOROUTER_JOBS:-$(nproc)}" ||
        fail "the build in $directory failed"
}

# exclude_known_failures [PATTERN]: sets the array `exclude` to the options with which ctest skips
# the tests in KNOWN-RED.txt and those that match PATTERN, and prints the former. Each entry of
# KNOWN-RED.txt begins with a line "test: NAME", where NAME is the name of the test in ctest.
exclude_known_failures() {
    local patterns=("$@") names=()
    if [ -f "$root/KNOWN-RED.txt" ]; then
        mapfile -t names < <(sed -n 's/^test: *//p' "$root/KNOWN-RED.txt")
    fi
    local name
    for name in "${names[@]}"; do
        echo "skipped, listed in KNOWN-RED.txt: $name"
        patterns+=("^$name\$")
    done
    exclude=()
    [ ${#patterns[@]} -eq 0 ] || exclude=(-E "$(IFS='|'; echo "${patterns[*]}")")
}
