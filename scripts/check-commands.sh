#!/bin/sh
# Runs the commands of the README and the demonstration: each must exist and accept its arguments.
set -eu
npx --no figquayctl --help > /dev/null
npx --no figquayd check --settings examples/daemon.jsonc
for arguments in "apply --file examples/guild.jsonc" "status" "models" "moves" "report burn --html out/burn.html"; do
  # No daemon is running: exit code 1 means that none answered, any other that the command line is invalid.
  exit_code=0
  npx --no figquayctl $arguments > /dev/null 2>&1 || exit_code=$?
  [ "$exit_code" -eq 1 ] || { echo "figquayctl $arguments: exit $exit_code, expected 1"; exit 1; }
  echo "figquayctl $arguments: ok"
done
