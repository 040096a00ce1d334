#!/usr/bin/env bash
# Case 8, see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/marigoldloom-edge ] && [ -x target/review-2/review-2 ] || {
  echo "build first: the command of deploy/system.toml, then review/build-2.sh"
  exit 2
}
exec target/review-2/review-2 crash review/8
