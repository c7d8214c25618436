package announce

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var limits = Limits{Slots: 8, Connections: 64}

// Guards against announcements that are accepted although a field is invalid, and
// against errors that do not name that field, so that a target's author cannot find
// it.
func TestDecodeNamesTheWrongField(t *testing.T) {
	for body, want := range map[string]string{
		`{"instance":"w1","service":"s","address":"10.0.0.1:80","generation":1,"slots":9}`: "slots",
		`{"instance":"w1","service":"s","address":"db:80","generation":1}`:                 "address",
		`{"instance":"w1","service":"s","address":"10.0.0.1:0","generation":1}`:            "port",
		`{"service":"s","address":"10.0.0.1:80","generation":1}`:                           "instance",
		`{"instance":"w1","service":"s","address":"10.0.0.1:80"}`:                          "generation",
		`{"instance":"w1","sevice":"s"}`:                                                   "sevice",
		`{"instance":"w1","service":"s","address":"10.0.0.1:80","generation":1}{}`:         "more than one",
		`{`: "body",
	} {
		_, err := DecodeJoin(strings.NewReader(body), limits)
		assert.ErrorContains(t, err, want, body)
	}
	_, err := DecodeHeartbeat(strings.NewReader(`{"generation":1,"running":[""]}`))
	assert.ErrorContains(t, err, "sequence")
	assert.ErrorContains(t, err, "running")
	_, err = DecodeLeaving(strings.NewReader(`{}`))
	assert.ErrorContains(t, err, "generation")
}

// Guards against a join body that makes the decoder panic, or that is accepted with
// values outside the limits.
func FuzzDecodeJoin(f *testing.F) {
	f.Add(`{"instance":"w1","service":"s","address":"10.0.0.1:80","generation":1,"slots":8,"connections":64}`)
	f.Add(`{"slots":-1}`)
	f.Fuzz(func(t *testing.T, body string) {
		j, err := DecodeJoin(strings.NewReader(body), limits)
		if err == nil && (j.Slots < 1 || j.Slots > 8 || j.Connections < 1 || j.Connections > 64 || j.Generation == 0 || j.Service == "") {
			t.Fatalf("accepted %+v", j)
		}
	})
}

// Guards against a heartbeat body that makes the decoder panic, or that is accepted
// without a generation or sequence or with too many requests.
func FuzzDecodeHeartbeat(f *testing.F) {
	f.Add(`{"generation":1,"sequence":2,"running":["e1.4.17"]}`)
	f.Add(`{"generation":18446744073709551616}`)
	f.Fuzz(func(t *testing.T, body string) {
		h, err := DecodeHeartbeat(strings.NewReader(body))
		if err == nil && (h.Generation == 0 || h.Sequence == 0 || len(h.Running) > MaxRunning) {
			t.Fatalf("accepted %+v", h)
		}
	})
}

// Guards against a leaving announcement that is accepted without a generation.
func FuzzDecodeLeaving(f *testing.F) {
	f.Add(`{"generation":3}`)
	f.Fuzz(func(t *testing.T, body string) {
		if l, err := DecodeLeaving(strings.NewReader(body)); err == nil && l.Generation == 0 {
			t.Fatal("accepted generation 0")
		}
	})
}
