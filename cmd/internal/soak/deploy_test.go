package soak

import (
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an operator who finds only the replicas: while one of three
// stands still, every third attempt of an order is lost.
func TestEveryInstanceTakesOrders(t *testing.T) {
	file, err := os.ReadFile("../../../deploy/system.toml")
	assert.NilError(t, err)
	control := regexp.MustCompile(`(?s)\[roles\.control\][^\[]*`).Find(file)
	assert.Assert(t, regexp.MustCompile(`(?m)^share = 1\.0$`).Match(control), "%s", control)
}
