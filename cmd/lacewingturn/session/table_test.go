package session

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a count in the status that is printed as nothing.
func TestEmptyObjectsAreNamed(t *testing.T) {
	var out strings.Builder
	assert.NilError(t, PrintTables(&out, []byte(`{"counts":{"waves":{},"moves":0}}`)))
	assert.Assert(t, strings.Contains(out.String(), "waves none, moves 0"), out.String())
}
