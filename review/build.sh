#!/bin/sh
# The stand-ins of the cases are plain scripts for Node.js without dependencies: there is nothing to compile. This
# checks that each of them can be read, and that the system is built (by the `build` of deploy/system.toml).
set -e
cd "$(dirname "$0")"
for file in common/*.mjs */case.mjs; do
	[ -f "$file" ] && node --check "$file"
done
[ -f ../target/cottonwood.cjs ] || {
	echo "target/cottonwood.cjs is missing: run the build of deploy/system.toml first" >&2
	exit 1
}
