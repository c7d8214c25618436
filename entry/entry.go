// Package entry is the part of the system between callers and targets. Its
// subpackages hold the command half (caller requests, target announcements,
// dispatch) and the query half (readiness, targets, the traffic view).
package entry
