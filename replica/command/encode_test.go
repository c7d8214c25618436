package command

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/replica/client"
)

// Guards against a command that cannot be read from the log and that holds up the other
// commands of its batch, on the leader and through a client: the batch was refused as a
// whole and proposed again until its deadline.
func TestUnreadableCommandCostsOnlyItself(t *testing.T) {
	site := startSite(t, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	unreadable := model.Envelope{Command: model.JoinEntry{ID: "\xff\xfe", Address: "127.0.0.1:1"}}
	c := client.New(addressesOf(site), client.NewHTTPClient())
	for i, propose := range []func(context.Context, []model.Envelope) ([]result.Result, error){c.Propose, site[0].Propose} {
		results, err := propose(ctx, []model.Envelope{join(2 * i), unreadable, join(2*i + 1)})
		assert.NilError(t, err)
		assert.Equal(t, results[0].Code, result.OK, results[0].Detail)
		assert.Equal(t, results[1].Code, result.InvalidInput, results[1].Detail)
		assert.Equal(t, results[2].Code, result.OK, results[2].Detail)
		results, err = propose(ctx, []model.Envelope{unreadable})
		assert.NilError(t, err)
		assert.Equal(t, results[0].Code, result.InvalidInput, results[0].Detail)
	}
	assert.Equal(t, site[0].View().State.Entries.Len(), 4)
}
