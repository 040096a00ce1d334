#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
for program in target/release/marigoldloom-edge target/review-3/review-3; do
    [ -x "$program" ] || { echo "$program isn't built" >&2; exit 2; }
done
exec target/review-3/review-3 frozen "$folder"
