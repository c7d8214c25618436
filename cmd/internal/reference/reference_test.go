package reference

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/result"
)

var write = flag.Bool("write-docs", false, "write the tables instead of comparing them")

// Guards against tables in the documentation that differ from the code because a
// code or event was changed and the tables were not rendered again.
func TestTablesMatchTheCode(t *testing.T) {
	for name, want := range map[string]string{"result-codes.md": ResultCodes(), "events.md": Events()} {
		path := filepath.Join("..", "..", "..", "docs", name)
		if *write {
			assert.NilError(t, os.WriteFile(path, []byte(want), 0o644))
		}
		got, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.Equal(t, string(got), want, "docs/%s differs from the code; run make docs", name)
	}
}

// Guards against two failures that share an exit status, which a script cannot tell
// apart, and against a success with a non-zero exit status.
func TestExitStatuses(t *testing.T) {
	seen := map[int]result.Code{}
	for _, c := range result.All() {
		assert.Equal(t, c.Exit == 0, c.Code.OK(), "%s", c.Name)
		assert.Assert(t, c.Exit < 126, "%s: the shell uses statuses from 126 up", c.Name)
		if c.Exit == 0 {
			continue
		}
		other, dup := seen[c.Exit]
		assert.Assert(t, !dup, "%s and %s share exit status %d", c.Name, other, c.Exit)
		seen[c.Exit] = c.Code
	}
}
