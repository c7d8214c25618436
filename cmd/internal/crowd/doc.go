// Package crowd tests that crowds of clients that never finish their requests end no process
// of the system.
package crowd
