import js from "@eslint/js"
import tseslint from "typescript-eslint"

export default tseslint.config(
	{ignores: ["**/dist/**", "build/**", "target/**", "packages/wire/src/generated/**"]},
	js.configs.recommended,
	...tseslint.configs.recommended,
	{
		rules: {
			"@typescript-eslint/no-unused-vars": ["error", {argsIgnorePattern: "^_"}],
			"@typescript-eslint/consistent-type-imports": "error",
			"max-lines-per-function": ["error", {max: 170, skipBlankLines: true, skipComments: true}],
			complexity: ["error", 20],
		},
	},
	{
		files: ["**/*.cjs"],
		languageOptions: {
			globals: {
				require: "readonly",
				module: "readonly",
				__dirname: "readonly",
				console: "readonly",
				process: "readonly",
				setTimeout: "readonly",
			},
		},
		rules: {"@typescript-eslint/no-require-imports": "off"},
	},
	{
		files: ["**/*.mjs"],
		languageOptions: {globals: {process: "readonly", URL: "readonly"}},
	},
	{
		files: ["packages/*/test/**"],
		rules: {"max-lines-per-function": "off", "@typescript-eslint/no-unused-expressions": "off"},
	},
)
