package storage

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property test, so that every run has the same
// result, unless the command line sets a seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}
