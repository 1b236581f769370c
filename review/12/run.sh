#!/usr/bin/env bash
# Runs the case with the build of the deploy file and of review/build-3.sh; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/standin many-tasks review/12/record.txt
