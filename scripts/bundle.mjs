/**
 * Bundles the platform's program into one file under target/, from the sources, so that a deployment
 * needs no built packages and a start reads one file.
 */
import {build} from "esbuild"

const banner =
	'import {createRequire} from "node:module"; const require = createRequire(import.meta.url)'

await build({
	entryPoints: ["platform/src/bin.ts"],
	outfile: "target/cottonwood.mjs",
	bundle: true,
	platform: "node",
	target: "node20",
	format: "esm",
	sourcemap: false,
	// Libraries in the older module format ask for Node's own modules this way.
	banner: {js: banner},
	alias: {
		"@cottonwood/core": "./packages/core/src/index.ts",
		"@cottonwood/wire/json": "./packages/wire/src/json-service.ts",
		"@cottonwood/wire/datagrams": "./packages/wire/src/datagrams.ts",
		"@cottonwood/jobs": "./packages/jobs/src/index.ts",
	},
	logLevel: "warning",
})
