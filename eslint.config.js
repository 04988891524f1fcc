import { readFileSync } from "node:fs";
import js from "@eslint/js";
import tseslint from "typescript-eslint";

const verbs = new Set(
    readFileSync(new URL("docs/VERBS.md", import.meta.url), "utf8")
        .split("\n")
        .map(line => /^\| `([a-z]+)` *\|/.exec(line)?.[1])
        .filter(verb => verb !== undefined),
);

/** Reports functions whose first word is not listed in docs/VERBS.md. */
const verbFirst = {
    meta: {
        type: "suggestion",
        schema: [],
        messages: { verb: "Expected a verb of docs/VERBS.md first in '{{name}}'." },
    },
    create(context) {
        function checkName(node, name) {
            const first = /^[a-z]+/.exec(name)?.[0];
            if (first === undefined || !verbs.has(first)) {
                context.report({ node, messageId: "verb", data: { name } });
            }
        }
        return {
            FunctionDeclaration(node) {
                if (node.id !== null) {
                    checkName(node.id, node.id.name);
                }
            },
            MethodDefinition(node) {
                if (node.kind === "method" && node.key.type === "Identifier") {
                    checkName(node.key, node.key.name);
                }
            },
        };
    },
};

export default tseslint.config(
    { ignores: ["dist", "target", "journal", "node_modules", ".tap", "tap-snapshots"] },
    js.configs.recommended,
    ...tseslint.configs.strict,
    {
        files: ["**/*.ts"],
        plugins: { house: { rules: { "verb-first": verbFirst } } },
        rules: {
            curly: ["error", "all"],
            eqeqeq: "error",
            "house/verb-first": "error",
            "no-restricted-syntax": ["error", { selector: "Literal[raw='null']", message: "Use undefined." }],
            "@typescript-eslint/no-dynamic-delete": "off",
            "@typescript-eslint/no-extraneous-class": "off",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "variableLike", format: ["camelCase", "UPPER_CASE"], leadingUnderscore: "forbid" },
            ],
        },
    },
    { files: ["**/*.js"], languageOptions: { globals: { URL: "readonly", console: "readonly", process: "readonly" } } },
);
