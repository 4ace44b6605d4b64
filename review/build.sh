#!/bin/sh
# The stand-ins of the cases are Python programs that use the standard library
# only, so there is nothing to compile. Checks that they can be loaded.
set -eu
cd "$(dirname "$0")"
exec python3 -B -c 'import sys; sys.path.insert(0, "common"); import harness'
