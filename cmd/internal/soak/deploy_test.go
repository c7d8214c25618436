package soak

import (
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a deployment that runs the control role only on the three instances
// with replicas. An operator then has only these addresses, and while one of the
// three is down every third attempt of an order fails.
func TestEveryInstanceTakesOrders(t *testing.T) {
	file, err := os.ReadFile("../../../deploy/system.toml")
	assert.NilError(t, err)
	control := regexp.MustCompile(`(?s)\[roles\.control\][^\[]*`).Find(file)
	assert.Assert(t, regexp.MustCompile(`(?m)^share = 1\.0$`).Match(control), "%s", control)
}
