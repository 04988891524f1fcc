/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/tests/agent/AnswerCheckTests.js > TAP > a stream whose events hold several tokens each is complete if it holds all of them > must match snapshot 1`] = `
Array [
  Object {
    "fault": undefined,
    "passed": String(
      data: {"id":"c1","choices":[{"index":0,"delta":{"content":"a b"}}]}
      
      data: {"id":"c1","choices":[{"index":0,"delta":{}}]}
      
      data: [DONE]
      
      
    ),
  },
]
`

exports[`dist/tests/agent/AnswerCheckTests.js > TAP > a stream whose events hold several tokens each is complete if it holds all of them > must match snapshot 2`] = `
Array [
  Object {
    "fault": undefined,
    "passed": String(
      data: {"id":"c1","choices":[{"index":0,"delta":{"content":"a b"},"token_ids":[7,8]}]}
      
      data: {"id":"c1","choices":[{"index":0,"token_ids":[9],"delta":{}}]}
      
      data: {"id":"c1","choices":[],"usage":{"completion_tokens":3}}
      
      data: [DONE]
      
      
    ),
  },
]
`

exports[`dist/tests/agent/AnswerCheckTests.js > TAP > text that looks like token ids is not counted or removed > must match snapshot 1`] = `
Array [
  Object {
    "fault": undefined,
    "passed": String(
      data: {"id":"c1","choices":[{"index":0,"delta":{"content":"say \\\\"token_ids\\\\":[1,2]"}}]}
      
      data: [DONE]
      
      
    ),
  },
]
`

exports[`dist/tests/agent/AnswerCheckTests.js > TAP > the end marker of a stream that lacks or repeats tokens is not passed on > must match snapshot 1`] = `
Array [
  Array [
    Object {
      "fault": Object {
        "detail": "2 events with 3 token ids came for 4 tokens",
        "isInconsistent": true,
      },
      "passed": String(
        data: {"id":"c1","choices":[{"index":0,"delta":{"content":"a b"}}]}
        
        data: {"id":"c1","choices":[{"index":0,"delta":{}}]}
        
        
      ),
    },
  ],
  Array [
    Object {
      "fault": Object {
        "detail": "2 events with 3 token ids came for 2 tokens",
        "isInconsistent": true,
      },
      "passed": String(
        data: {"id":"c1","choices":[{"index":0,"delta":{"content":"a b"}}]}
        
        data: {"id":"c1","choices":[{"index":0,"delta":{}}]}
        
        
      ),
    },
  ],
]
`
