#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are plain modules that Node.js runs as they are: this checks that they parse.
cd "$(dirname "$0")" || exit 1
for file in standins-2/*.mjs 6/case.mjs 7/case.mjs 8/case.mjs; do
  node --check "$file" || exit 1
done
