/* IMPORTANT
 * This snapshot file is auto-generated, but designed for humans.
 * It should be checked into source control and tracked carefully.
 * Re-generate by setting TAP_SNAPSHOT=1 and running tests.
 * Make sure to inspect the output below.  Do not ignore changes!
 */
'use strict'
exports[`dist/tests/telemetry/metricSetTests.js > TAP > counters, durations and gauges come out as text, also what was counted before the first scrape > must match snapshot 1`] = `
# HELP sends_total Sends
# TYPE sends_total counter
sends_total{service="app",result="answered"} 3

# HELP first_byte_seconds_bucket Time to the first byte, by upper bound
# TYPE first_byte_seconds_bucket counter
first_byte_seconds_bucket{service="app",le="0.05"} 1
first_byte_seconds_bucket{service="app",le="0.1"} 1
first_byte_seconds_bucket{service="app",le="0.2"} 1
first_byte_seconds_bucket{service="app",le="0.4"} 1
first_byte_seconds_bucket{service="app",le="0.8"} 1
first_byte_seconds_bucket{service="app",le="1.5"} 1
first_byte_seconds_bucket{service="app",le="3"} 1
first_byte_seconds_bucket{service="app",le="6"} 1
first_byte_seconds_bucket{service="app",le="12"} 1
first_byte_seconds_bucket{service="app",le="+Inf"} 2

# HELP first_byte_seconds_sum Time to the first byte, sum
# TYPE first_byte_seconds_sum counter
first_byte_seconds_sum{service="app"} 20.03

# HELP first_byte_seconds_count Time to the first byte, count
# TYPE first_byte_seconds_count counter
first_byte_seconds_count{service="app"} 2

# HELP running Requests in progress
# TYPE running gauge
running 3

`
