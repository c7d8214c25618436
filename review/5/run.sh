#!/usr/bin/env bash
# Runs the case once, with TROUBLE=0 without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/lacewingturnd ] || { echo "build first: the build line of deploy/system.toml, then review/build.sh" >&2; exit 2; }
exec review/bin/standin -case renamed-route -record review/5/record.txt
