/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/tests/router/answersTests.js > TAP > malformed input is refused with a specific reason, and nothing is run > must match snapshot 1`] = `
Array [
  Object {
    "cause": "unknown-team",
    "detail": "expected the header \`Authorization: Bearer KEY\` with the key of a team",
    "outcome": "not-run",
    "status": 401,
  },
  Object {
    "cause": "malformed-request",
    "detail": "expected a JSON object",
    "outcome": "not-run",
    "status": 400,
  },
  Object {
    "cause": "unknown-target",
    "detail": "expected a model of the document, got nobody",
    "outcome": "not-run",
    "status": 404,
  },
  Object {
    "cause": "malformed-request",
    "detail": "model: Invalid input: expected string, received number",
    "outcome": "not-run",
    "status": 400,
  },
  Object {
    "cause": "body-too-large",
    "detail": "expected at most 65536 bytes",
    "outcome": "not-run",
    "status": 413,
  },
  Object {
    "cause": "malformed-request",
    "detail": "expected POST, got GET",
    "outcome": "not-run",
    "status": 400,
  },
  Object {
    "cause": "missing-idempotency-key",
    "detail": "expected the header \`Idempotency-Key\`, since this call may not be repeated",
    "outcome": "not-run",
    "status": 400,
  },
  Object {
    "cause": "unknown-target",
    "detail": "expected a service and call of the document, got DELETE /orders of swapdesk-app",
    "outcome": "not-run",
    "status": 404,
  },
  Object {
    "cause": "body-too-slow",
    "detail": "expected the whole body within 300 ms",
    "outcome": "not-run",
    "status": 408,
  },
]
`
