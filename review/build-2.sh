#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are plain Node.js without a build step; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.mjs 6/case.mjs 7/case.mjs 8/case.mjs 9/case.mjs 10/case.mjs; do
    [ ! -e "$file" ] || node --check "$file"
done
