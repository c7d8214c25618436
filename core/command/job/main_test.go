package job_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property test, so that a failure repeats.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := f.Value.Set("7"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
