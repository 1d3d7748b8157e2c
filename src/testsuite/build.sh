# Shell functions that configure and build the two kinds of build. Sourced by test.sh, .ci/run and src/fuzz/run.sh. The
# current folder must be the root of the repository.

# Compiled files are found again in another checkout: paths below the root count relative to it, and the folder of the
# checkout is not part of the key.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1

# One job for each core. A compile job under the sanitizers takes up to 0.5 GB.
BUILD_JOBS="$(nproc)"

build_release() {  # FOLDER: builds all programs but the unit tests, which run in the sanitizer build
  cmake -S . -B "$1" -G Ninja >/dev/null
  cmake --build "$1" -j "$BUILD_JOBS" --target pimentomoor pimentomoor_standin pimentomoor_load pimentomoor_bench \
    pimentomoor_gateway_standin
}

# FOLDER TARGET...: builds with clang under AddressSanitizer and UBSan, with the coverage counters of the fuzz targets
build_sanitized() {
  cmake -S . -B "$1" -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DPIMENTOMOOR_FUZZ=ON \
    -DPIMENTOMOOR_SANITIZE=address,undefined,float-cast-overflow >/dev/null
  cmake --build "$1" -j "$BUILD_JOBS" --target "${@:2}"
}
