#!/usr/bin/env bash
# Plays the case after the build of deploy/system.toml and review/build-2.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/review-2 ] && [ -x target/release/oriolefork-platform ] || exit 2
exec timeout -k 5 118 target/release/review-2 snapshot-keys review/4
