package answers

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an interview whose answers its own check refuses, and against
// wrong input that is taken or ends the interview.
func TestInterviewGivesValidAnswers(t *testing.T) {
	all := strings.Repeat("\n", 11)
	for _, input := range []string{
		all,
		"My Site\nshop\n" + all,
		"shop\nwest\na, b\n2\n3\n8\n32\nx, y, spare\n0\n50\nmoves\n",
		"shop\n\na,a\na\n0\n2\n3\n8\n32\nx\nlots\n1\n150\n50\nspeed\nbuffer_cost\n",
	} {
		data, err := Interview(strings.NewReader(input), io.Discard)
		assert.NilError(t, err, "%q", input)
		_, problems := Read(data)
		assert.Equal(t, len(problems), 0, "%v\n%s", problems, data)
	}
}

// Guards against an endless question when the input ends or values contradict
// each other.
func TestInterviewEnds(t *testing.T) {
	_, err := Interview(strings.NewReader("shop\nwest\n"), io.Discard)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = Interview(strings.NewReader("shop\nwest\na\n1\n1\n8\n32\nx\n0\n75\n\n"), io.Discard)
	assert.ErrorContains(t, err, "the pool has one instance")
}
