#!/bin/sh
# Case 2; needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves the disruptions out.
cd "$(dirname "$0")/../.." && exec target/review/standin repeat review/2/record.txt
