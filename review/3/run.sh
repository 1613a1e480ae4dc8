#!/usr/bin/env bash
# Plays the case; review/build.sh and the build of the deploy file come first.
cd "$(dirname "$0")/../.."
if [ ! -x target/review/standin ] || [ ! -x target/release/masticreel-platform ]; then
    echo "not built" >&2
    exit 2
fi
exec target/review/standin grey review/3/record.txt
