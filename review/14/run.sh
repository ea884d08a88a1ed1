#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of deploy/system.toml and review/build-3.sh.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -f target/jacinthwharf.jar ] || [ ! -f target/jacinthwharf.jsa ] \
    || [ ! -f target/review-3/SlowEvents.class ]; then
  echo "build first: deploy/system.toml, review/build-3.sh" >&2
  exit 2
fi
timeout -k 5 115 java -XX:+UseSerialGC -Xmx200m -cp target/review-3 SlowEvents review/14
result=$?
case $result in
  0 | 1) exit $result ;;
  *) exit 2 ;;
esac
