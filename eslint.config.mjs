import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "target/**", ".scratch/**", "**/node_modules/**"] },
    ...tseslint.configs.strict,
    ...tseslint.configs.stylistic,
    {
        files: ["packages/*/src/**/*.ts", "platform/**/*.ts", "features/**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/consistent-type-definitions": "off",
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "variable", format: ["camelCase", "PascalCase"], leadingUnderscore: "forbid" },
                { selector: "function", format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^$" }],
            "@typescript-eslint/no-dynamic-delete": "off",
            "@typescript-eslint/no-extraneous-class": "off",
            "arrow-parens": "off",
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "max-lines": ["error", { max: 400, skipBlankLines: true, skipComments: true }],
            "no-restricted-syntax": ["error", {
                selector: "FunctionDeclaration[generator=false] > Identifier[name=/^_/]",
                message: "No leading underscore.",
            }, {
                // Bundlers drop what is unused of a module's namespace, but not of a namespace object that it exports.
                selector: "ImportDeclaration[source.value='zod'] > ImportSpecifier",
                message: "Use: import * as z from \"zod\".",
            }],
        },
    },
    // CommonJS, because modules can't be started from stored bytecode.
    { files: ["**/*.cjs"], rules: { "@typescript-eslint/no-require-imports": "off" } },
    { files: ["features/**/*.ts"], rules: { "@typescript-eslint/no-non-null-assertion": "off" } },
);
