#!/bin/sh
# Tries the command lines that the README and the demonstration print: each must be found and know its arguments.
set -eu
npx --no figquayctl --help > /dev/null
npx --no figquayd check --settings examples/daemon.jsonc
for line in "apply --file examples/guild.jsonc" "status" "models" "moves" "report burn --html out/burn.html"; do
  # No daemon runs here: 1 says that none answered, anything else that the line itself is wrong.
  code=0
  npx --no figquayctl $line > /dev/null 2>&1 || code=$?
  [ "$code" -eq 1 ] || { echo "figquayctl $line: exit $code, expected 1"; exit 1; }
  echo "figquayctl $line: ok"
done
