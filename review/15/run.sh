#!/usr/bin/env bash
# Plays case 15; see claim.txt. Needs the build of deploy/system.toml and review/build-3.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0
# leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
[ -x target/lacewingturnd ] && [ -x target/review-3/standin-3 ] || { echo "not built" >&2; exit 2; }
exec target/review-3/standin-3 advice "$here/record.txt"
