// Package claims holds only the benchmark that compares claims in the
// replicated log with claims in memory that are copied to a peer.
package claims
