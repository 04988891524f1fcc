/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/tests/admin/documentsTests.js > TAP > a wrong document shows all findings with line and column > must match snapshot 1`] = `
Array [
  "wrong.yaml:13:15 teams[0].weight: expected number, found \\"heavy\\"",
  "wrong.yaml:20:31 rules[0].rank: expected one of \\"urgent\\"|\\"standard\\"|\\"deferrable\\", found \\"soon\\"",
  "wrong.yaml:21:7 rules[1]: expected only known keys (not purpos), found {\\"purpos\\":\\"stock-check\\",\\"rank\\":\\"deferrable\\"}",
]
`

exports[`dist/tests/admin/documentsTests.js > TAP > a wrong document shows all findings with line and column > must match snapshot 2`] = `
Array [
  "syntax.yaml:2:1 (syntax): expected well-formed YAML, found Flow sequence in block collection must be sufficiently indented and end with a ] at line 2, column 1:",
  "syntax.yaml:2:5 (syntax): expected well-formed YAML, found Flow map in block collection must be sufficiently indented and end with a } at line 2, column 5:",
]
`

exports[`dist/tests/admin/documentsTests.js > TAP > a wrong document shows all findings with line and column > must match snapshot 3`] = `
Array [
  "crossed.yaml:6:5 ranks: expected floors that sum to at most 1, found 1.2000000000000002",
  "crossed.yaml:16:13 teams[2].name: expected a name used once, found shops",
]
`
