#!/bin/sh
# Case 4; needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." && exec target/review/standin quota review/4/record.txt
