package session

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against empty output for an object without fields, such as the counts of the
// status when there are no waves.
func TestEmptyObjectsAreShownAsNone(t *testing.T) {
	var out strings.Builder
	assert.NilError(t, PrintTables(&out, []byte(`{"counts":{"waves":{},"moves":0}}`)))
	assert.Assert(t, strings.Contains(out.String(), "waves none, moves 0"), out.String())
}
