#!/bin/sh
# Runs the case; see claim.txt. TROUBLE=0 leaves out the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x bin/casestand3 ] && [ -x target/ebonylockd ] || { echo "not built: see deploy/system.toml and review/build-3.sh" >&2; exit 2; }
exec bin/casestand3 crashing-request "$here/record.txt"
