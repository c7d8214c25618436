package codec

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/command"
	"lacewingturn.example/core/command/share"
	"lacewingturn.example/core/model"
)

// workloadState returns a state with n workloads of ten tasks each, of which five have a
// started run. The first workload is cancelled.
func workloadState(n int) model.State {
	s := model.State{Catalog: &model.Catalog{
		Version: 3, Document: []byte(`{}`), Pools: []model.WorkerPool{{Name: "p"}}, Queues: []model.Queue{{Name: "q", Host: "h", Prefix: "/", Pool: "p"}},
	}}
	apply := func(c model.Command) {
		s, _ = command.Apply(s, s.Index+1, 1, model.Envelope{Time: s.Clock + 1, Command: c})
	}
	for i := range n {
		id := fmt.Sprintf("%016x", i)
		apply(model.SubmitWorkload{Host: "h", Path: "/" + id, Workload: model.Workload{Payload: "text", Steps: []model.Step{{Count: 10}}}})
		var p model.RecordProgress
		for k := range 5 {
			ref := model.TaskRef{Workload: model.WorkloadID(id), Index: k}
			p.Starts = append(p.Starts, model.RunStart{Run: model.RunRef{Task: ref, Number: 1}, Worker: model.MakeWorkerID(fmt.Sprint(k), 1)})
		}
		apply(p)
	}
	apply(model.CancelWorkload{Host: "h", Path: "/" + fmt.Sprintf("%016x", 0)})
	apply(model.OrderUpkeep{Upkeep: model.Upkeep{Number: 1, Limit: 1, Instances: []model.UpkeepInstance{{ID: "i"}}}})
	apply(model.RecordOrders{Instances: []model.InstanceID{"i"}})
	return s
}

// Guards against workloads, outcomes, upkeep orders or assignments that are lost in
// a snapshot: each table must be added to the image by hand.
func TestWorkloadsSurviveASnapshot(t *testing.T) {
	s := workloadState(4)
	data, err := EncodeState(s)
	assert.NilError(t, err)
	got, err := DecodeState(data)
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(got.Workloads.Values(), s.Workloads.Values()))
	assert.DeepEqual(t, got.Finished.Values(), s.Finished.Values())
	assert.DeepEqual(t, got.Upkeeps.Values(), s.Upkeeps.Values())
	assert.DeepEqual(t, got.Orders.Values(), s.Orders.Values())
	assert.DeepEqual(t, got.Catalog, s.Catalog)
	assert.Equal(t, got.Assignments.Len(), s.Assignments.Len())
}

// Guards against accounts, keys or the account of a workload that are lost in a snapshot, so
// that a caller is refused or another account pays after a restart, and against fields that
// change the stored form of a site without accounts.
func TestAccountsSurviveASnapshot(t *testing.T) {
	s := workloadState(2)
	without, err := EncodeState(s)
	assert.NilError(t, err)
	for _, field := range []string{"RequireKeys", "Accounts", "Keys", "Account", "Public"} {
		assert.Assert(t, !bytes.Contains(without, []byte(field)), field)
	}
	c := *s.Catalog
	c.Version++
	key := model.DigestKey("k")
	c.RequireKeys, c.Accounts = true, []model.ClientAccount{{Name: "a", Weight: 2.5, Rate: 2.5, Cap: model.Resources{MilliCPU: 7}}}
	c.Keys, c.Queues[0].Public = []model.AccountKey{{Digest: key, Account: "a"}}, true
	var env model.Envelope
	for _, command := range []model.Command{
		model.PublishCatalog{Catalog: c},
		model.SubmitWorkload{Host: "h", Path: "/00000000000000a1", Workload: model.Workload{Steps: []model.Step{{Count: 1}}}, Key: &key},
		model.SubmitWorkload{Host: "h", Path: "/00000000000000a2", Workload: model.Workload{Steps: []model.Step{{Count: 1}}}, Key: &key},
		model.CancelWorkload{Host: "h", Path: "/00000000000000a2", Key: &key},
	} {
		_, env, err = EncodeForLog(model.Envelope{Command: command})
		assert.NilError(t, err)
		assert.DeepEqual(t, env.Command, command)
		s = applied(t, s, env)
	}
	data, err := EncodeState(s)
	assert.NilError(t, err)
	got, err := DecodeState(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Catalog, s.Catalog)
	assert.Assert(t, reflect.DeepEqual(got.Workloads.Values(), s.Workloads.Values()))
	w, _ := got.Workloads.Get("00000000000000a1")
	assert.Equal(t, w.Owner(), model.Owner{Account: "a", Public: true})
	f, _ := got.Finished.Get("00000000000000a2")
	assert.Equal(t, f.Owner(), model.Owner{Account: "a", Public: true})
}

func applied(t *testing.T, s model.State, env model.Envelope) model.State {
	next, r := command.Apply(s, s.Index+1, 1, env)
	assert.Assert(t, r.Code.OK(), r.Detail)
	return next
}

// BenchmarkRecoverWorkloads measures the decoding of a snapshot with 1000 workloads,
// which a replica does when it starts.
func BenchmarkRecoverWorkloads(b *testing.B) {
	data, err := EncodeState(workloadState(1000))
	assert.NilError(b, err)
	b.ReportMetric(float64(len(data)), "bytes")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeState(data); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against rate limits that a restart or a snapshot resets, and against workloads that
// lose their account or the mark of being beyond its rate.
func TestRateLimitsSurviveASnapshot(t *testing.T) {
	s := model.State{Clock: 1000, Catalog: &model.Catalog{Accounts: []model.ClientAccount{{Name: "a", Weight: 1, Rate: 1}}}}
	assert.Assert(t, !share.ChargeRate(&s, "a"))
	s.Workloads = s.Workloads.Set("w", model.Workload{ID: "w", Account: "a", BeyondRate: true})
	s.Finished = s.Finished.Set("f", model.FinishedWorkload{ID: "f", Account: "a", Held: &model.Resources{MilliCPU: 1}})
	data, err := EncodeState(s)
	assert.NilError(t, err)
	restored, err := DecodeState(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, restored.Workloads.Values(), s.Workloads.Values())
	assert.DeepEqual(t, restored.Finished.Values(), s.Finished.Values())
	assert.Assert(t, share.ChargeRate(&restored, "a"))
}
