// Package claims contains only a benchmark. It compares claims that are stored in
// the replicated log with claims that are kept in memory and copied to one peer.
package claims
