#!/usr/bin/env bash
# The stand-ins of the cases are plain modules for Node.js without dependencies, so there is nothing to compile; checks their syntax.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs ./*/case.mjs; do
    node --check "$file"
done
