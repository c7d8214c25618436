// Package entry defines the types shared by the parts of an entry instance, which
// forwards caller requests to targets. Its subpackages contain the command half
// (caller requests, target announcements, dispatch) and the query half (readiness,
// targets, the traffic view).
package entry
