package command

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica/client"
)

// childEnv is the environment variable with the settings of a replica that this
// test binary runs as a child process.
const childEnv = "LACEWINGTURN_TEST_REPLICA"

type childSettings struct {
	Name, Address, DataFolder string
	Peers                     []Peer
}

// TestMain runs a replica instead of the tests if childEnv is set.
func TestMain(m *testing.M) {
	if raw := os.Getenv(childEnv); raw != "" {
		runChild(raw)
	}
	os.Exit(m.Run())
}

// runChild runs a replica until the process is killed.
func runChild(raw string) {
	var c childSettings
	if err := json.Unmarshal([]byte(raw), &c); err != nil {
		panic(err)
	}
	l := loop.New(loop.DefaultCapacity)
	r, err := Open(Settings{Name: c.Name, Address: c.Address, DataFolder: c.DataFolder, Peers: c.Peers, SnapshotEvery: 200, KeepEntries: 50}, l)
	if err != nil {
		panic(err)
	}
	go l.Run(context.Background())
	go func() { _ = r.Run(context.Background()) }()
	server := testServer(r)
	server.Addr = c.Address
	panic(server.ListenAndServe())
}

func startChild(t *testing.T, s Settings) *exec.Cmd {
	t.Helper()
	raw, err := json.Marshal(childSettings{s.Name, s.Address, s.DataFolder, s.Peers})
	assert.NilError(t, err)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), childEnv+"="+string(raw))
	assert.NilError(t, cmd.Start())
	return cmd
}

func kill(cmd *exec.Cmd) {
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
}

// proposer proposes commands until ctx ends and sends the IDs of the acknowledged
// ones to acks.
func proposer(ctx context.Context, c *client.Client, first, step int, acks chan<- model.TargetID) {
	for n := first; ctx.Err() == nil; n += step {
		env := announce(n)
		call, cancel := context.WithTimeout(ctx, 5*time.Second)
		results, err := c.Propose(call, []model.Envelope{env})
		cancel()
		if err != nil || !results[0].Code.OK() {
			continue
		}
		select {
		case acks <- env.Command.(model.AnnounceTarget).Target.ID:
		case <-ctx.Done():
		}
	}
}

// Guards against the loss of acknowledged commands when processes are killed and
// restarted at random points under load.
func TestKilledProcessesLoseNothingAcknowledged(t *testing.T) {
	const rounds, acksPerRound, proposers = 12, 60, 4
	settings := siteSettings(t, 3)
	children := make([]*exec.Cmd, len(settings))
	for i, s := range settings {
		children[i] = startChild(t, s)
	}
	defer func() {
		for _, c := range children {
			kill(c)
		}
	}()
	acks := make(chan model.TargetID, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	httpClient := client.NewHTTPClient()
	var wg sync.WaitGroup
	for p := range proposers {
		c := client.New([]string{settings[0].Address, settings[1].Address, settings[2].Address}, httpClient)
		wg.Go(func() { proposer(ctx, c, p, proposers, acks) })
	}
	acknowledged := map[model.TargetID]bool{}
	rng := rand.New(rand.NewPCG(7, 7))
	for range rounds {
		for range acksPerRound {
			select {
			case id := <-acks:
				acknowledged[id] = true
			case <-ctx.Done():
				t.Fatalf("no progress after %d acknowledgements", len(acknowledged))
			}
		}
		victim := rng.IntN(len(children))
		kill(children[victim])
		children[victim] = startChild(t, settings[victim])
	}
	cancel()
	wg.Wait()
	for i, c := range children {
		kill(c)
		children[i] = nil
	}
	children = nil
	checkAcknowledged(t, settings, acknowledged)
}

// checkAcknowledged starts the replicas in this process and checks that the state
// of each contains every acknowledged command.
func checkAcknowledged(t *testing.T, settings []Settings, acknowledged map[model.TargetID]bool) {
	var site []*instance
	for _, s := range settings {
		site = append(site, start(t, s))
	}
	last := leaderOf(t, site)
	eventually(t, last.Replica, "an applied entry of the leader's term", func() bool { return last.View().State.Term == last.View().Term })
	index := last.View().State.Index
	for _, r := range site {
		eventually(t, r.Replica, "the leader's last index is applied", func() bool { return r.View().State.Index >= index })
		for id := range acknowledged {
			assert.Assert(t, r.View().State.Targets.Has(id), "%s lacks %s", r.ID(), id)
		}
	}
	t.Logf("every replica has all %d acknowledged commands", len(acknowledged))
}

// testServer returns a server of the replica's services.
func testServer(r *Replica) *http.Server {
	mux := http.NewServeMux()
	mux.Handle(r.Replication().Route())
	mux.Handle(commandRoute(r))
	return server(mux)
}

// server returns an HTTP/2 server without TLS.
func server(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: h, Protocols: protocols, HTTP2: ServerHTTP2()}
}
