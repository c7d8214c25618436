// Package operator contains the packages of the operator interface: the answers file
// and its interview, the command and query handlers and their client, the interface to
// the platform that drains and reboots instances, and the replay of traffic traces.
package operator
