#!/bin/bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -x bin/yarrowbarrow ] || [ ! -x review/bin/rig ]; then
	echo "run the build of the deploy file and review/build.sh first" >&2
	exit 2
fi
timeout --signal=TERM --kill-after=5 115 review/bin/rig leave "$folder/record.txt"
code=$?
if [ $code -gt 1 ]; then
	exit 2
fi
exit $code
