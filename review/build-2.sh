#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are plain scripts, so they are only checked; the program itself is built by the
# command of the deploy file.
set -e
cd "$(dirname "$0")"
for file in shared-2/*.mjs 4/case.mjs 5/case.mjs 6/case.mjs 7/case.mjs 8/case.mjs; do
	node --check "$file"
done
