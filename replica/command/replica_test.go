package command

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica/client"
)

// commandHandler implements only Propose of the ReplicaCommandService.
type commandHandler struct {
	replicav1connect.UnimplementedReplicaCommandServiceHandler
	CommandService
}

func (h commandHandler) Propose(ctx context.Context, req *connect.Request[replicav1.ProposeRequest]) (*connect.Response[replicav1.ProposeResponse], error) {
	return h.CommandService.Propose(ctx, req)
}

func commandRoute(r *Replica) (string, http.Handler) {
	return replicav1connect.NewReplicaCommandServiceHandler(commandHandler{CommandService: r.CommandService()})
}

// instance is a replica that runs on loopback in the test process.
type instance struct {
	*Replica
	settings Settings
	stop     func()
}

// start runs a replica with its own control loop and server until the test ends.
func start(t testing.TB, settings Settings) *instance {
	t.Helper()
	l := loop.New(loop.DefaultCapacity)
	r, err := Open(settings, l)
	assert.NilError(t, err)
	srv := testServer(r)
	listener, err := net.Listen("tcp", settings.Address)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { l.Run(ctx) })
	wg.Go(func() { _ = r.Run(ctx) })
	wg.Go(func() { _ = srv.Serve(listener) })
	stop := sync.OnceFunc(func() {
		srv.Close()
		cancel()
		wg.Wait()
	})
	t.Cleanup(stop)
	return &instance{Replica: r, settings: settings, stop: stop}
}

// freeAddresses returns n loopback addresses with free ports.
func freeAddresses(t testing.TB, n int) []string {
	list := make([]string, n)
	for i := range list {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer l.Close()
		list[i] = l.Addr().String()
	}
	return list
}

// siteSettings returns the settings of n replicas of one site.
func siteSettings(t testing.TB, n int) []Settings {
	addresses := freeAddresses(t, n)
	peers := make([]Peer, n)
	for i := range peers {
		peers[i] = Peer{Name: fmt.Sprintf("r%d", i+1), Address: addresses[i]}
	}
	list := make([]Settings, n)
	for i := range list {
		list[i] = Settings{
			Name: peers[i].Name, Address: addresses[i], DataFolder: t.TempDir(), Peers: peers, Logger: zap.NewNop(), Seed: uint64(i + 1),
		}
	}
	return list
}

func startSite(t testing.TB, n int) []*instance {
	var site []*instance
	for _, s := range siteSettings(t, n) {
		site = append(site, start(t, s))
	}
	return site
}

// eventually checks the condition after each new view of r until it holds. The test
// fails after 30 s.
func eventually(t testing.TB, r *Replica, what string, ok func() bool) {
	t.Helper()
	limit := time.After(30 * time.Second)
	for {
		next := r.View().Next
		if ok() {
			return
		}
		select {
		case <-next:
		case <-limit:
			t.Fatalf("condition not reached within 30 s: %s; status %+v", what, r.Status())
		}
	}
}

func addressesOf(site []*instance) []string {
	var list []string
	for _, i := range site {
		list = append(list, i.settings.Address)
	}
	return list
}

func join(n int) model.Envelope {
	return model.Envelope{Command: model.JoinEntry{ID: model.EntryID(fmt.Sprintf("entry-%d", n)), Address: "127.0.0.1:1"}}
}

// Guards against three empty replicas that do not bootstrap a site or elect no
// leader, and against replicas that do not apply all committed commands.
func TestThreeReplicasFormASiteAndCommit(t *testing.T) {
	site := startSite(t, 3)
	c := client.New(addressesOf(site), client.NewHTTPClient())
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	for i := range 20 {
		results, err := c.Propose(ctx, []model.Envelope{join(2 * i), join(2*i + 1)})
		assert.NilError(t, err)
		assert.Equal(t, len(results), 2)
		assert.Equal(t, results[0].Code, result.OK, results[0].Detail)
	}
	for _, r := range site {
		eventually(t, r.Replica, "all commands applied", func() bool { return r.View().State.Entries.Len() == 40 })
		assert.Equal(t, r.View().State.Replicas.Len(), 3)
	}
}
