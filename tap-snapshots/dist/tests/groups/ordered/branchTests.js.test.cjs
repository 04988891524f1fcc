/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/tests/groups/ordered/branchTests.js > TAP > a small group is called directly, and a large one by branches within zones of about equal size > must match snapshot 1`] = `
Array [
  Object {
    "areWithinZones": true,
    "branches": 16,
    "largest": 1,
    "ranks": 16,
  },
  Object {
    "areWithinZones": true,
    "branches": 24,
    "largest": 1,
    "ranks": 24,
  },
  Object {
    "areWithinZones": true,
    "branches": 6,
    "largest": 5,
    "ranks": 25,
  },
  Object {
    "areWithinZones": true,
    "branches": 9,
    "largest": 8,
    "ranks": 72,
  },
  Object {
    "areWithinZones": true,
    "branches": 15,
    "largest": 13,
    "ranks": 192,
  },
  Object {
    "areWithinZones": true,
    "branches": 21,
    "largest": 19,
    "ranks": 384,
  },
]
`
