/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/tests/account/explainTests.js > TAP > two causes at once are both named, the worse first > must match snapshot 1`] = `
Array [
  "endpoint engine-3 answered slowly: 50 requests lost, 50 of them urgent",
  "a request of team couriers crashed its endpoints: 9 requests lost, 9 of them urgent",
]
`
