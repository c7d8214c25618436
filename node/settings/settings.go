// Package settings validates the settings of a process. All invalid settings are
// reported together, each with its flag, environment variable and reason.
package settings

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// EnvPrefix is the prefix of the environment variables that correspond to flags.
const EnvPrefix = "LACEWINGTURN_"

// Env returns the name of the environment variable that corresponds to a flag, such
// as LACEWINGTURN_DATA_FOLDER for data-folder.
func Env(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Problem describes one invalid setting.
type Problem struct {
	Flag   string // without the leading dashes
	Value  string
	Reason string
}

// String returns one line with the flag, its environment variable, the value and the
// reason.
func (p Problem) String() string {
	return fmt.Sprintf("--%s (%s) = %q: %s", p.Flag, Env(p.Flag), p.Value, p.Reason)
}

// Problems is the error returned by Checker.Err. It lists all invalid settings, one
// per line.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, v := range p {
		lines[i] = v.String()
	}
	return strings.Join(lines, "\n")
}

// Checker validates settings and collects the problems. After a problem its methods
// return a value that must not be used; call Err before using any setting.
type Checker struct{ problems Problems }

// Add records a problem with a setting. The reason follows the value in the message,
// such as "must be between 1s and 1h0m0s".
func (c *Checker) Add(flag, value, format string, args ...any) {
	c.problems = append(c.problems, Problem{Flag: flag, Value: value, Reason: fmt.Sprintf(format, args...)})
}

// Err returns all problems as an error of type Problems, or nil if there are none.
func (c *Checker) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return c.problems
}

// Name checks a required identifier. It may contain ASCII letters, digits, dots,
// dashes and underscores.
func (c *Checker) Name(flag, value string) string {
	if value == "" {
		c.Add(flag, value, "is required")
		return ""
	}
	for _, r := range value {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_", r) {
			c.Add(flag, value, "the character %q is not allowed; use letters, digits, '.', '-' and '_'", r)
			return ""
		}
	}
	return value
}

// Address checks an IP address with a port, such as 10.0.0.5:7400.
func (c *Checker) Address(flag, value string) string {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		c.Add(flag, value, "must be an IP number and a port, such as 10.0.0.5:7400")
		return ""
	}
	if net.ParseIP(host) == nil {
		c.Add(flag, value, "%q is not an IP number", host)
		return ""
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		c.Add(flag, value, "%q is not a port number", port)
		return ""
	}
	return value
}

// Duration parses a duration and checks that it is between low and high, inclusive.
func (c *Checker) Duration(flag, value string, low, high time.Duration) time.Duration {
	d, err := time.ParseDuration(value)
	if err != nil {
		c.Add(flag, value, "is not a duration; write one such as 500ms or 2s")
		return 0
	}
	if d < low || d > high {
		c.Add(flag, value, "must be between %s and %s", low, high)
		return 0
	}
	return d
}

// Folder checks the path of a required folder: the folder or its parent must exist.
func (c *Checker) Folder(flag, value string) string {
	if value == "" {
		c.Add(flag, value, "is required")
		return ""
	}
	if info, err := os.Stat(value); err == nil {
		if !info.IsDir() {
			c.Add(flag, value, "is not a folder")
		}
		return value
	}
	if info, err := os.Stat(filepath.Dir(value)); err != nil || !info.IsDir() {
		c.Add(flag, value, "neither the folder nor its parent folder exists")
	}
	return value
}

// File checks that a file can be opened for reading. An empty path is valid.
func (c *Checker) File(flag, value string) string {
	if value == "" {
		return ""
	}
	f, err := os.Open(value)
	if err != nil {
		c.Add(flag, value, "cannot be read: %v", err)
		return ""
	}
	_ = f.Close()
	return value
}

// OneOf checks that the value is one of the allowed values.
func (c *Checker) OneOf(flag, value string, allowed ...string) string {
	for _, a := range allowed {
		if value == a {
			return value
		}
	}
	c.Add(flag, value, "must be one of %s", strings.Join(allowed, ", "))
	return ""
}
