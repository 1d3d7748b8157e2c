#!/usr/bin/env bash
# Runs clang-tidy on all sources, several beside each other, and keeps the results of clean files, so that a file is
# read again only when it, a header that it includes, the settings or the packages have changed.
#
#   src/testsuite/lint.sh [BUILD_FOLDER ...]     default build-asan build
#
# The compile commands are those of the first folder; the records of included headers are those of all folders.
# LINT_CACHE names the folder of the results, default ~/.cache/pimentomoor-lint. Exits with 1 when there is a finding.
set -euo pipefail
cd "$(dirname "$0")/../.."
folders=("${@:-build-asan}")
[ "$#" -gt 0 ] || folders+=(build)
cache="${LINT_CACHE:-$HOME/.cache/pimentomoor-lint}"
mkdir -p "$cache"
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT

# System headers belong to packages, so the list of package versions stands for them.
{ clang-tidy --version; dpkg-query -W; cat .clang-tidy CMakeLists.txt; } | sha256sum >"$work/common"
# One line for each pair of source and included header below the root, both relative to the root.
for folder in "${folders[@]}"; do ninja -C "$folder" -t deps; done | awk -v root="$PWD/" '
  function relative(path) {
    if (index(path, root) == 1) return substr(path, length(root) + 1)
    if (substr(path, 1, 3) == "../") return substr(path, 4)
    return ""
  }
  /^[^ ].*: #deps/ { source = ""; next }
  /^ / { path = relative($1); if (source == "") source = path; if (path != "" && source != "") print source, path }
' | sort -u >"$work/deps"
git ls-files 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' | xargs sha256sum | awk '{print $2, $1}' |
  sort >"$work/hashes"

# Prints "KEY SOURCE". The key of a source is the hash of the contents of all files that it reads.
awk '
  FILENAME ~ /hashes$/ { hash[$1] = $2; next }
  ($2 in hash) { text[$1] = text[$1] " " hash[$2] }
  END { for (source in text) print source, text[source] }
' "$work/hashes" "$work/deps" | sort >"$work/texts"
lint_key() { { cat "$work/common"; grep "^$1 " "$work/texts"; } | sha256sum | cut -d' ' -f1; }

run_tidy() {  # BUILD CACHE KEY SOURCE
  local output
  if output="$(clang-tidy -p "$1" --quiet "$4" 2>&1)"; then
    touch "$2/$3"
  else
    printf '%s\n' "$output"
    return 1
  fi
}
export -f run_tidy

for source in $(git ls-files 'src/*.cpp' 'platform/*.cpp'); do
  # A source that this build doesn't compile has no record, and is read each time.
  key="$(grep -q "^$source " "$work/texts" && lint_key "$source" || echo none)"
  [ "$key" != none ] && [ -e "$cache/$key" ] || echo "$key $source"
done >"$work/todo"
echo "$(wc -l <"$work/todo") of $(git ls-files 'src/*.cpp' 'platform/*.cpp' | wc -l) sources to read"
xargs -r -a "$work/todo" -P "$(nproc)" -L 1 bash -c 'run_tidy "$0" "$1" "$2" "$3"' "${folders[0]}" "$cache"
