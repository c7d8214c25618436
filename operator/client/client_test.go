package client

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	operatorv1 "lacewingturn.example/api/gen/lacewingturn/operator/v1"
	"lacewingturn.example/core/command"
	"lacewingturn.example/core/model"
	corequery "lacewingturn.example/core/query"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/server"
	"lacewingturn.example/operator/answers"
	opcommand "lacewingturn.example/operator/command"
	opquery "lacewingturn.example/operator/query"
	"lacewingturn.example/replica"
)

// group is a control state shared by all replicas of a test, without replication.
type group struct {
	state   atomic.Pointer[model.State]
	entries atomic.Pointer[[]replica.EntryLiveness]
}

func newGroup() *group {
	g := &group{}
	g.state.Store(&model.State{})
	g.entries.Store(&[]replica.EntryLiveness{})
	return g
}

func (g *group) Entries() []replica.EntryLiveness { return *g.entries.Load() }
func (g *group) Observations() model.Observations { return model.Observations{} }

// member is one replica of a group.
type member struct {
	*group
	leads bool
}

func (m member) View() *replica.View {
	return &replica.View{ID: "c1/1", State: *m.state.Load(), IsLeader: m.leads, Leader: "c1/1", QuorumContact: time.Now()}
}

func (m member) Propose(_ context.Context, commands []model.Envelope) ([]result.Result, error) {
	if !m.leads {
		return []result.Result{result.New(result.NotLeader, "not here")}, nil
	}
	for {
		old := m.state.Load()
		env := commands[0]
		env.Time = model.TimestampOf(time.Now())
		next, r := command.Apply(*old, old.Index+1, 1, env)
		if m.state.CompareAndSwap(old, &next) {
			return []result.Result{r}, nil
		}
	}
}

func routes(m member, proposer opcommand.Proposer) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(opcommand.New(proposer, zap.NewNop()).Route())
	mux.Handle(opquery.New(m, m, m, zap.NewNop()).Route())
	return mux
}

// serve starts the operator interface of m and returns its address.
func serve(t *testing.T, m member, wrap func(http.Handler) http.Handler) string {
	t.Helper()
	return serveWith(t, m, m, wrap)
}

// serveWith is like serve, but the replica commits commands through proposer.
func serveWith(t *testing.T, m member, proposer opcommand.Proposer, wrap func(http.Handler) http.Handler) string {
	t.Helper()
	s, err := server.Listen("127.0.0.1:0", wrap(routes(m, proposer)), nil)
	assert.NilError(t, err)
	s.Start()
	t.Cleanup(s.Close)
	return s.Address()
}

func unwrapped(h http.Handler) http.Handler { return h }

func newClient(t *testing.T, actor string, addresses ...string) *Client {
	t.Helper()
	c, err := New(Settings{Addresses: addresses, Actor: actor})
	assert.NilError(t, err)
	return c
}

func sample(t *testing.T) model.Config {
	t.Helper()
	data, err := answers.Sample("skoflikk")
	assert.NilError(t, err)
	a, problems := answers.Read(data)
	assert.Equal(t, len(problems), 0)
	return answers.Generate(a)
}

// Guards against two concurrent changes of the same base revision that are both
// accepted, and against a conflict that does not name the accepted revision, its
// actor and the difference.
func TestTwoOperatorsRaceFromTheSameRevision(t *testing.T) {
	address := serve(t, member{newGroup(), true}, unwrapped)
	first, second := sample(t), sample(t)
	second.Limits.SlotsPerTarget = 4
	results := make(chan result.Result, 2)
	for actor, config := range map[string]model.Config{"ann": first, "bob": second} {
		go func() {
			results <- newClient(t, actor, address).Submit(t.Context(), NewRequestID(), model.AcceptConfig{Base: 0, Config: config})
		}()
	}
	won, lost := <-results, <-results
	if !won.Code.OK() {
		won, lost = lost, won
	}
	assert.Equal(t, won.Code, result.Accepted)
	assert.Equal(t, won.Revision, uint64(1))
	assert.Equal(t, lost.Code, result.Conflicting)
	assert.Equal(t, lost.Conflict.Revision, uint64(1))
	var history corequery.HistoryView
	_, err := newClient(t, "ann", address).Read(t.Context(), operatorv1.View_VIEW_HISTORY, "", &history)
	assert.NilError(t, err)
	assert.Equal(t, len(history.Revisions), 1)
	assert.Equal(t, lost.Conflict.Actor, history.Revisions[0].Actor)
	assert.Equal(t, len(lost.Conflict.Difference), 1)
}

// Guards against a command that is applied twice. The first answer is lost after
// the command was applied, so that the client resends it under the same ID.
func TestResendGetsTheFirstResult(t *testing.T) {
	var calls atomic.Int32
	dropFirst := func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) > 1 {
				next.ServeHTTP(w, r)
				return
			}
			next.ServeHTTP(discard{}, r)
			panic(http.ErrAbortHandler)
		})
	}
	g := newGroup()
	c := newClient(t, "ann", serve(t, member{g, true}, dropFirst))
	id := NewRequestID()
	r := c.Submit(t.Context(), id, model.AcceptConfig{Config: sample(t)})
	assert.Equal(t, r.Code, result.Accepted, "%v", r)
	assert.Assert(t, calls.Load() > 1)
	assert.Equal(t, g.state.Load().Revision, model.Revision(1))
	again := c.Submit(t.Context(), id, model.AcceptConfig{Config: sample(t)})
	assert.DeepEqual(t, again, r)
	other := c.Submit(t.Context(), id, model.RevertConfig{To: 1})
	assert.Equal(t, other.Code, result.Exists)
}

// discard is a response writer that drops the response.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

// Guards against a command that fails because the first addresses in the list are
// unreachable or do not lead. A replica that forwards to the leader is sufficient;
// with only a follower that does not forward, the result must be NotLeader.
func TestSubmitFindsTheLeader(t *testing.T) {
	g := newGroup()
	leader := member{g, true}
	follower := serve(t, member{g, false}, unwrapped)
	forwarding := serveWith(t, member{g, false}, leader, unwrapped)
	r := newClient(t, "ann", "127.0.0.1:1", follower, serve(t, leader, unwrapped)).Submit(t.Context(), NewRequestID(), model.AcceptConfig{Config: sample(t)})
	assert.Equal(t, r.Code, result.Accepted, "%v", r)
	r = newClient(t, "ann", forwarding).Submit(t.Context(), NewRequestID(), model.DrainInstance{Instance: "tickets-fjord-r1-1"})
	assert.Equal(t, r.Code, result.Accepted, "%v", r)
	r = newClient(t, "ann", follower).Submit(&endsBetweenCalls{Context: t.Context(), after: 3}, NewRequestID(), model.DrainInstance{Instance: "quotes-fjord-r1-1"})
	assert.Equal(t, r.Code, result.NotLeader, "no leader received the command: %v", r)
}

// endsBetweenCalls is a context that ends right after an attempt was answered. The
// client checks Err only between attempts; the attempts have contexts of their own.
type endsBetweenCalls struct {
	context.Context
	after int // calls
	calls atomic.Int32
}

func (c *endsBetweenCalls) Err() error {
	if int(c.calls.Add(1)) < c.after {
		return nil
	}
	return context.DeadlineExceeded
}

// Guards against a command that is reported as not applied although it was. Every
// answer is lost until the deadline passes.
func TestLostAnswerIsUnknown(t *testing.T) {
	lost := func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			next.ServeHTTP(discard{}, r)
			panic(http.ErrAbortHandler)
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	c := newClient(t, "ann", serve(t, member{newGroup(), true}, lost))
	r := c.Submit(ctx, NewRequestID(), model.AcceptConfig{Config: sample(t)})
	assert.Equal(t, r.Code, result.Unknown, "%v", r)
}

// Guards against a configuration that is reported as in force while an entry
// instance still uses an older one, and against a watch that ends at a replica that
// does not lead instead of trying the next.
func TestWatchUntilInForceEverywhere(t *testing.T) {
	g := newGroup()
	leader := member{g, true}
	join, _ := command.Apply(*g.state.Load(), 1, 1, model.Envelope{Command: model.JoinEntry{ID: "e1", Address: "127.0.0.1:2"}})
	g.state.Store(&join)
	c := newClient(t, "ann", serve(t, member{g, false}, unwrapped), serve(t, leader, unwrapped))
	r := c.Submit(t.Context(), NewRequestID(), model.AcceptConfig{Config: sample(t)})
	assert.Equal(t, r.Code, result.Accepted, "%v", r)
	g.entries.Store(&[]replica.EntryLiveness{{ID: "e1", Epoch: 1, Revision: 0, RenewedAt: time.Now()}})
	var waits [][]string
	err := c.Watch(t.Context(), 1, func(p Progress) {
		waits = append(waits, p.Waiting)
		g.entries.Store(&[]replica.EntryLiveness{{ID: "e1", Epoch: 1, Revision: 1, RenewedAt: time.Now()}})
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, waits, [][]string{{"e1"}, nil})

	var status corequery.StatusView
	answer, err := c.Read(t.Context(), operatorv1.View_VIEW_STATUS, "", &status)
	assert.NilError(t, err)
	assert.Assert(t, answer.FromLeader && status.InForceEverywhere && status.Entries[0].InForce)
}

// certificate returns a TLS configuration for client and server, with a self-signed
// certificate for name.
func certificate(t *testing.T, name string) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	parsed, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, NextProtos: []string{"h2"},
	}
}

// Guards against a forged actor: a change must be recorded under the name in the
// client certificate, whatever name the client states.
func TestActorIsTakenFromCertificate(t *testing.T) {
	config := certificate(t, "carol")
	g := newGroup()
	s, err := server.Listen("127.0.0.1:0", routes(member{g, true}, member{g, true}), config)
	assert.NilError(t, err)
	s.Start()
	defer s.Close()
	c, err := New(Settings{Addresses: []string{s.Address()}, Actor: "mallory", TLS: config})
	assert.NilError(t, err)
	r := c.Submit(t.Context(), NewRequestID(), model.AcceptConfig{Config: sample(t)})
	assert.Equal(t, r.Code, result.Accepted, "%v", r)
	record, _ := g.state.Load().History.Get(1)
	assert.Equal(t, record.Actor, "carol")
}

// Guards against a query error of a replica that is hidden by another replica that
// cannot be reached, and against a code other than NoQuorum if no replica can be
// reached.
func TestReadReturnsErrorOfReplica(t *testing.T) {
	c := newClient(t, "ann", "127.0.0.1:1", serve(t, member{newGroup(), true}, unwrapped))
	var v corequery.ConfigView
	_, err := c.Read(t.Context(), operatorv1.View_VIEW_CONFIG, "7", &v)
	assert.Equal(t, err.(result.Result).Code, result.NotFound)
	_, err = newClient(t, "ann", "127.0.0.1:1").Read(t.Context(), operatorv1.View_VIEW_CONFIG, "", &v)
	assert.Equal(t, err.(result.Result).Code, result.NoQuorum)
}
