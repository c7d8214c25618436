// Package settings checks the settings of a process. Every wrong setting is
// reported with its flag, its environment variable and the reason, all at once.
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

// EnvPrefix starts the name of every environment variable.
const EnvPrefix = "LACEWINGTURN_"

// Env returns the environment variable of a flag.
func Env(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// Problem is one wrong setting.
type Problem struct {
	Flag   string
	Value  string
	Reason string
}

func (p Problem) String() string {
	return fmt.Sprintf("--%s (%s) = %q: %s", p.Flag, Env(p.Flag), p.Value, p.Reason)
}

// Problems is the error of a failed check.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, v := range p {
		lines[i] = v.String()
	}
	return strings.Join(lines, "\n")
}

// Checker collects problems while the settings are converted.
type Checker struct{ problems Problems }

// Add records a problem.
func (c *Checker) Add(flag, value, format string, args ...any) {
	c.problems = append(c.problems, Problem{Flag: flag, Value: value, Reason: fmt.Sprintf(format, args...)})
}

// Err returns every problem, or nil.
func (c *Checker) Err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return c.problems
}

// Name checks an identifier: letters, digits, dots, dashes and underscores.
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

// Address checks an IP number and port, such as 10.0.0.5:7400.
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

// Duration checks a duration between low and high.
func (c *Checker) Duration(flag, value string, low, high time.Duration) time.Duration {
	d, err := time.ParseDuration(value)
	if err != nil {
		c.Add(flag, value, "is not a duration, such as 500ms or 2s")
		return 0
	}
	if d < low || d > high {
		c.Add(flag, value, "must be between %s and %s", low, high)
		return 0
	}
	return d
}

// Folder checks that the folder exists or can be created in an existing one.
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
		c.Add(flag, value, "neither the folder nor the one above it exists")
	}
	return value
}

// File checks that an optional file can be read.
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

// OneOf checks a value from a fixed list.
func (c *Checker) OneOf(flag, value string, allowed ...string) string {
	for _, a := range allowed {
		if value == a {
			return value
		}
	}
	c.Add(flag, value, "must be one of %s", strings.Join(allowed, ", "))
	return ""
}
