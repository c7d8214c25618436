package command

import (
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
)

// Guards against commands that are accepted from another machine without a verified
// client certificate, and against a stated name that overrides the one in the
// certificate.
func TestIdentityOfSender(t *testing.T) {
	cert := &x509.Certificate{Subject: pkix.Name{CommonName: "ann"}}
	cases := []struct {
		address string
		tls     *tls.ConnectionState
		trusted bool
		actor   string
	}{
		{"127.0.0.1:5000", nil, true, "bob (local)"},
		{"[::1]:5000", nil, true, "bob (local)"},
		{"10.0.0.5:5000", nil, false, ""},
		{"10.0.0.5:5000", &tls.ConnectionState{}, false, ""},
		{"10.0.0.5:5000", &tls.ConnectionState{PeerCertificates: []*x509.Certificate{cert}}, false, ""},
		{"10.0.0.5:5000", &tls.ConnectionState{VerifiedChains: [][]*x509.Certificate{{cert}}}, true, "ann"},
		{"", nil, false, ""},
	}
	for _, c := range cases {
		var got identity
		req := httptest.NewRequest(http.MethodPost, "/", nil)
		req.RemoteAddr, req.TLS = c.address, c.tls
		withIdentity(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = identityFrom(r.Context()) })).ServeHTTP(httptest.NewRecorder(), req)
		assert.Equal(t, got.trusted, c.trusted, "%+v", c)
		if c.trusted {
			assert.Equal(t, got.actor("bob"), c.actor)
		}
	}
}

// Guards against an operator who sends commands, or values in commands, that only
// the processes of the system may send, such as observed phases and placements.
func TestOnlyCommandsOfOperatorsAreAllowed(t *testing.T) {
	for want, commands := range map[result.Code][]model.Command{
		result.OK: {
			model.AcceptConfig{}, model.DrainInstance{Instance: "i"}, model.SetWavePhase{Phase: model.WavePaused},
			model.SubmitJob{Job: model.Job{ID: "j", Team: "t", Urgent: true}}, model.StartMove{ID: "m"},
		},
		result.Forbidden: {
			model.Noop{}, model.RemoveEntry{}, model.SetInstancePhase{}, model.JobStarted{}, model.PlaceJob{},
			model.ClaimRequest{}, model.AnnounceTarget{}, model.BeginOperation{}, model.TakeWaveStep{}, model.SetReplicas{},
		},
		result.InvalidInput: {
			model.DrainInstance{HeldBy: "wave/w"}, model.ReturnInstance{HeldBy: "retire"}, model.StartMove{Lend: true},
			model.SetWavePhase{Phase: model.WaveDone}, model.SubmitJob{Job: model.Job{ID: "j", Phase: model.JobDone}},
		},
	} {
		for _, c := range commands {
			assert.Equal(t, checkAllowed(c).Code, want, "%T %+v", c, c)
		}
	}
}
