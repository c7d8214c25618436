package settings

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a start that reports only the first of several invalid settings,
// and against messages without the flag and the environment variable to change.
func TestAllProblemsAreReportedTogether(t *testing.T) {
	var c Checker
	c.Name("name", "a b")
	c.Address("public-address", "localhost:80")
	c.Address("internal-address", "10.0.0.5")
	c.Duration("drain-timeout", "9h", time.Second, time.Hour)
	c.Folder("data-folder", "/nowhere/at/all")
	c.OneOf("log-level", "loud", "debug", "info")
	c.File("tls-cert", "/nowhere/cert.pem")
	err := c.Err()
	assert.Equal(t, len(err.(Problems)), 7)
	assert.ErrorContains(t, err, `--public-address (LACEWINGTURN_PUBLIC_ADDRESS) = "localhost:80": "localhost" is not an IP number`)
	assert.ErrorContains(t, err, "must be between 1s and 1h0m0s")
}

// Guards against valid settings that are rejected.
func TestValidSettings(t *testing.T) {
	var c Checker
	c.Name("name", "entry-1")
	c.Address("public-address", "127.0.0.1:0")
	c.Duration("drain-timeout", "30s", time.Second, time.Hour)
	c.Folder("data-folder", t.TempDir())
	assert.NilError(t, c.Err())
}
