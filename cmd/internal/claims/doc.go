// Package claims contains only a benchmark. A claim reserves the idempotency key of a
// non-idempotent request for one attempt. The benchmark compares claims that are stored
// in the replicated log with claims that are kept in memory and copied to one peer.
package claims
