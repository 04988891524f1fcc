/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/tests/soak/checkerTests.js > TAP > each broken promise is found > must match snapshot 1`] = `
Object {
  "a booking that ran twice": Array [
    "a-1: a booking ran 2 times",
    "a-1: a booking ran 2 times",
  ],
  "a cut answer that looks whole": Array [
    "a-1: an answer that isn't the endpoint's ended as whole",
  ],
  "a denial with a key that was given back": Array [
    "a-1: denied with a key that had been given back",
  ],
  "a denied proper request": Array [
    "a-1: denied with 401",
  ],
  "a false promise": Array [
    "a-1: told 503, but it ran at i-1",
  ],
  "a process that ends by itself": Array [
    "router-1 ended by itself with 1",
  ],
  "a request that planned work cut": Array [
    "a-1: reached an endpoint through router-1 and was cut during planned work",
  ],
  "a request to a zone that was evacuated": Array [
    "a-1: reached b 3510 ms after its evacuation",
  ],
  "a run at an endpoint that has left": Array [
    "a-1: reached i-1 2110 ms after it began to leave",
  ],
  "a run with a key that was taken away": Array [
    "a-1: ran with a key that had been taken away",
  ],
  "a stream with a doubled event": Array [
    "a-1: a part of the answer is missing or doubled",
    "a-1: reached an endpoint through router-1 and was cut during planned work",
  ],
  "a stream without its end that looks whole": Array [
    "a-1: an answer that isn't the endpoint's ended as whole",
  ],
  "a success without a signature": Array [
    "a-1: a success with the signature undefined",
  ],
  "a system that doesn't recover": Array [
    "0 of 1 requests were served after the system had recovered",
  ],
  "callers without an answer at the end of their time": Array [
    "3 of 3 callers got no answer at the end of their time, such as a-1",
  ],
  "the answer of another request": Array [
    "a-1: an answer that isn't the endpoint's ended as whole",
  ],
}
`
