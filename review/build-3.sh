#!/bin/sh
# Builds the stand-ins that the cases 11 to 15 start: those of the project. Needs the packages that the deploy file's build installs.
set -eu
cd "$(dirname "$0")/.."
node_modules/.bin/tsc -b
