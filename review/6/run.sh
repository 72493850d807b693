#!/bin/sh
# Plays case 6 (`unsafe-upgrade` in review/standins-2); exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/release/fawnstream ] && [ -x target/review-2/release/fawnstream-review-2 ] || exit 2
exec target/review-2/release/fawnstream-review-2 unsafe-upgrade "$folder"
