#!/bin/sh
# Plays the case "remote-failure". Needs the build of the deploy file and of review/build-3.sh.
# The environment passes TROUBLE on: with TROUBLE=0 the program leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/release/review-case
if [ ! -x "$program" ] || [ ! -x target/release/arbutuspick-edge ]; then
    echo "build the deploy file and review/build-3.sh first" >&2
    exit 2
fi
"$program" remote-failure review/12
