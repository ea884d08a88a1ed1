#!/bin/sh
# Exit 0: the rule held; 1: it was broken; 2: the case could not run. Needs the build of
# deploy/system.toml and review/build.sh. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
exec java -Xmx512m -cp review/build TenantName "$here/record.txt"
