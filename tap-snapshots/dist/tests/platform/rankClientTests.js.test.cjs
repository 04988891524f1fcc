/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/tests/platform/rankClientTests.js > TAP > orders are sent as the engine takes them, for one epoch > must match snapshot 1`] = `
Array [
  Object {
    "epoch": 3,
    "mapping": Array [
      Array [
        Array [
          0,
          2,
        ],
        Array [
          1,
        ],
      ],
    ],
    "operation": "prepare",
    "version": 7,
  },
  Object {
    "epoch": 3,
    "operation": "retain",
    "step": 60,
  },
  Object {
    "epoch": 3,
    "operation": "arm",
    "step": 60,
    "version": 7,
  },
  Object {
    "epoch": 3,
    "operation": "go",
    "step": 60,
  },
  Object {
    "epoch": 3,
    "operation": "disarm",
    "version": 7,
  },
]
`

exports[`dist/tests/platform/rankClientTests.js > TAP > reports, counts and experts of a rank are decoded > must match snapshot 1`] = `
Object {
  "armed": Object {
    "step": 60,
    "version": 7,
  },
  "bornAt": 17,
  "epoch": 3,
  "group": "g0",
  "heldStep": 60,
  "isOpen": true,
  "mapVersion": 0,
  "pace": 1.5,
  "preparedVersion": 7,
  "queued": 1,
  "rank": 2,
  "running": 4,
  "size": 16,
  "step": 53,
}
`
