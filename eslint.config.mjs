// Layout and names follow the guidelines of the TypeScript team. Decision packages (coordination and state) must not
// use sockets, timers or clocks directly.
import stylistic from "@stylistic/eslint-plugin";
import tseslint from "typescript-eslint";

const ioModules = [
    "node:http",
    "node:https",
    "node:net",
    "node:dgram",
    "node:tls",
    "node:fs",
    "node:fs/promises",
    "node:timers",
    "node:timers/promises",
    "node:child_process",
    "node:worker_threads",
    "node:process",
    "node:os",
    "node:perf_hooks",
];
const forbiddenGlobals = [
    "Date",
    "setTimeout",
    "setInterval",
    "setImmediate",
    "clearTimeout",
    "clearInterval",
    "queueMicrotask",
    "process",
    "performance",
    "fetch",
];

const noNull = { selector: "Literal[raw='null']", message: "Use undefined instead of null." };
const platformName = "/(x-(attempt-id|deadline-ms|target-instance|caller-service|response-signature|not-executed|server-load"
    + "|instance-id)|server-(limit|leaving)|HeartbeatAddr|ColdLeftS|BILBERRYCROFT_BOOT|\\/bilberrycroft\\/)/i";
const noPlatformNames = [
    `Literal[value=${platformName}]`,
    `TemplateElement[value.raw=${platformName}]`,
    `Identifier[name=${platformName}]`,
].map(selector => ({ selector, message: "Names of the platform are translated in platform/ and occur nowhere else." }));

export default tseslint.config(
    { ignores: ["**/dist/**", "target/**", "**/node_modules/**"] },
    ...tseslint.configs.recommended,
    stylistic.configs.customize({
        indent: 4,
        quotes: "double",
        semi: true,
        braceStyle: "stroustrup",
        commaDangle: "always-multiline",
        arrowParens: false,
    }),
    {
        rules: {
            "@stylistic/max-len": ["error", { code: 120, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true }],
            "@stylistic/quotes": ["error", "double", { avoidEscape: true, allowTemplateLiterals: "always" }],
            "@stylistic/operator-linebreak": ["error", "before"],
            "@stylistic/indent-binary-ops": "off",
            "@stylistic/arrow-parens": ["error", "as-needed"],
            "@stylistic/quote-props": ["error", "as-needed"],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: ["function", "classMethod"], format: ["camelCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
            "no-restricted-syntax": ["error", noNull],
            eqeqeq: "error",
            "max-lines": ["error", { max: 400, skipBlankLines: true, skipComments: true }],
            "max-lines-per-function": ["error", { max: 70, skipBlankLines: true, skipComments: true }],
        },
    },
    {
        files: ["**/*.ts"],
        ignores: ["platform/**"],
        rules: { "no-restricted-syntax": ["error", noNull, ...noPlatformNames] },
    },
    {
        files: ["coordination/*/src/**/*.ts", "state/*/src/**/*.ts"],
        rules: {
            "no-restricted-imports": ["error", {
                paths: ioModules.map(name => ({ name, message: "Decision packages are deterministic and do no I/O." })),
                patterns: ["@bilberrycroft/transport.*", "@bilberrycroft/daemons.*", "@trpc/*"],
            }],
            "no-restricted-globals": ["error", ...forbiddenGlobals.map(name => ({
                name,
                message: "Decision packages receive the clock, timers and random source as arguments.",
            }))],
            "no-restricted-properties": ["error", { object: "Math", property: "random", message: "Use the Random passed in." }],
        },
    },
    {
        files: ["**/test/**/*.ts"],
        rules: { "max-lines-per-function": "off" },
    },
    {
        files: ["scripts/*.mjs", "eslint.config.mjs"],
        rules: { "no-restricted-syntax": "off" },
    },
    {
        files: ["scripts/*.cjs"],
        rules: { "@typescript-eslint/no-require-imports": "off" },
    },
);
