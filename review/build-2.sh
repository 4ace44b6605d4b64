#!/bin/sh
# Builds the stand-ins of this review's scripts. They are Python without dependencies, so this only checks them.
set -eu
cd "$(dirname "$0")"
for file in common-2/*.py [6-9]/*.py 10/*.py; do
  [ ! -e "$file" ] || python3 -m py_compile "$file"
done
