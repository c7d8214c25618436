package answers

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an interview that writes answers which Read rejects, and against
// invalid input that is accepted or ends the interview instead of repeating the
// question. The inputs are all defaults, an invalid name, custom values, and
// invalid values for several questions.
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

// Guards against an interview that never returns: one whose input ends early must
// fail, and so must one whose values contradict each other, here a pool with a
// single instance that must stay available.
func TestInterviewEnds(t *testing.T) {
	_, err := Interview(strings.NewReader("shop\nwest\n"), io.Discard)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = Interview(strings.NewReader("shop\nwest\na\n1\n1\n8\n32\nx\n0\n75\n\n"), io.Discard)
	assert.ErrorContains(t, err, "the pool has one instance")
}
