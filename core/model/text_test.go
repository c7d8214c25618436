package model

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against text in the state that cannot be decoded from the log again, that stands
// for several different names, or that has no bound on its length; and against usual
// names that are refused.
func TestValidName(t *testing.T) {
	for _, s := range []string{"", "i-7f3a91c2", "r1-3", "skoflikk/førde", "m 1", strings.Repeat("x", MaxNameBytes)} {
		assert.Check(t, ValidName(s), "%q", s)
	}
	for _, s := range []string{"\xff\xfe", "a\xc3", "a\ufffd", "a\x00", "a\n", "\u0085", strings.Repeat("x", MaxNameBytes+1)} {
		assert.Check(t, !ValidName(s), "%q", s)
	}
	assert.Check(t, ValidCheckpoint("00000bb87a21d94b\n"))
	for _, s := range []string{"\xff", "\ufffd", strings.Repeat("x", MaxCheckpointBytes+1)} {
		assert.Check(t, !ValidCheckpoint(s), "%q", s)
	}
}
