package compare

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a missing deadline, which is the zero time, being taken for the
// earliest one, so that the real deadline is ignored.
func TestEarlierAndLaterTimes(t *testing.T) {
	var never time.Time
	early := time.Unix(1, 0)
	late := early.Add(time.Second)
	for _, pair := range [][2]time.Time{{early, late}, {late, early}} {
		assert.Equal(t, Earlier(pair[0], pair[1]), early)
		assert.Equal(t, Later(pair[0], pair[1]), late)
		assert.Equal(t, EarlierDeadline(pair[0], pair[1]), early)
	}
	assert.Equal(t, EarlierDeadline(never, late), late)
	assert.Equal(t, EarlierDeadline(late, never), late)
	assert.Equal(t, EarlierDeadline(never, never), never)
}

// Guards against an inverted order, which would sort true values last.
func TestTrueFirst(t *testing.T) {
	list := []bool{false, true, false, true}
	slices.SortFunc(list, TrueFirst)
	assert.DeepEqual(t, list, []bool{true, true, false, false})
}
