#!/bin/sh
# Starts the daemons of the deploy file and the stand-ins of review/common-2; see claim.txt.
cd "$(dirname "$0")/../.." && exec target/review-2/standin occurrences review/9
