/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/tests/platform/decodeTests.js > TAP > a configuration is decoded into the product's own types > must match snapshot 1`] = `
Object {
  "value": Object {
    "limits": Object {
      "bodyBytes": 100000,
      "headerBytes": 16384,
      "headerTimeoutMs": 3000,
      "idleTimeoutMs": 15000,
    },
    "routes": Array [
      Object {
        "homeRegions": undefined,
        "host": "shop.example",
        "isPublic": false,
        "isResumable": false,
        "kind": "idempotent",
        "maxAttempts": 2,
        "maxPauseMs": 0,
        "name": "stock",
        "pathPrefix": "/stock/",
        "shares": Array [
          Object {
            "service": "app",
            "weight": 1,
          },
        ],
        "targetMs": 300,
        "timeoutMs": 2000,
        "urgency": 2,
      },
      Object {
        "homeRegions": undefined,
        "host": "shop.example",
        "isPublic": false,
        "isResumable": false,
        "kind": "non-idempotent",
        "maxAttempts": 1,
        "maxPauseMs": 0,
        "name": "book",
        "pathPrefix": "/book/",
        "shares": Array [
          Object {
            "service": "app",
            "weight": 1,
          },
        ],
        "targetMs": 300,
        "timeoutMs": 2000,
        "urgency": 1,
      },
      Object {
        "homeRegions": undefined,
        "host": "shop.example",
        "isPublic": false,
        "isResumable": true,
        "kind": "stream",
        "maxAttempts": 2,
        "maxPauseMs": 0,
        "name": "advice",
        "pathPrefix": "/advice/",
        "shares": Array [
          Object {
            "service": "app",
            "weight": 1,
          },
        ],
        "targetMs": 300,
        "timeoutMs": 2000,
        "urgency": 0,
      },
    ],
    "services": Array [
      Object {
        "cold": undefined,
        "engine": undefined,
        "maxConnections": 100,
        "name": "app",
      },
    ],
    "teams": Array [
      Object {
        "homeRegions": undefined,
        "keys": Array [
          "key-of-team-one",
        ],
        "name": "one",
        "urgency": undefined,
      },
    ],
    "version": 7,
  },
}
`

exports[`dist/tests/platform/decodeTests.js > TAP > an endpoint's entry is decoded; one of another writer names no endpoint > must match snapshot 1`] = `
Object {
  "value": Object {
    "bornAt": 17,
    "group": Object {
      "name": "g0",
      "rank": 2,
      "size": 16,
    },
    "host": "10.0.0.1",
    "id": "i-1",
    "isLeaving": false,
    "port": 8080,
    "service": "app",
    "slots": 8,
    "zone": "a",
  },
}
`
