// Package follow links an entry instance to the control replicas: it follows
// the changes of the traffic view and renews the membership of the instance.
// What it learns it posts to the entry machine.
package follow

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"lacewingturn.example/api/codec"
	replicav1 "lacewingturn.example/api/gen/lacewingturn/replica/v1"
	"lacewingturn.example/api/gen/lacewingturn/replica/v1/replicav1connect"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/entry"
	"lacewingturn.example/node/event"
	"lacewingturn.example/node/loop"
	"lacewingturn.example/node/wait"
)

// Silence is the longest time without a message before a follow stream counts
// as lost. A stream without changes carries a message every 600 ms.
const Silence = 1500 * time.Millisecond

// Backoff between attempts to follow, per replica tried.
const Backoff = 100 * time.Millisecond

// Settings of a link.
type Settings struct {
	ID      model.EntryID
	Address string // where other processes of the system reach this instance
	Domain  model.Domain
	// Replicas are base URLs, those of the own data centre first.
	Replicas []string
	Client   *http.Client
	Control  entry.Control
	Log      *zap.Logger
	// Port leads to the entry machine.
	Port loop.Port
}

// Link runs until its context ends. Its fields belong to the goroutines that
// Run starts: held to the follower, epoch to the renewer.
type Link struct {
	Settings
	held    query.Traffic
	inForce chan query.Traffic
	leader  chan string
}

// New returns a link that has not contacted any replica.
func New(s Settings) *Link {
	return &Link{Settings: s, inForce: make(chan query.Traffic, 1), leader: make(chan string, 1)}
}

// Run follows and renews until ctx ends, then gives up the membership.
func (l *Link) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.renewLoop(ctx)
	}()
	l.followLoop(ctx)
	<-done
}

func (l *Link) followLoop(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		url := l.Replicas[i%len(l.Replicas)]
		err := l.followOne(ctx, url)
		if ctx.Err() != nil {
			return
		}
		event.FollowLost.Log(l.Log, zap.String("replica", url), zap.Error(err))
		if wait.For(ctx, Backoff) != nil {
			return
		}
	}
}

// followOne reads one stream until it ends, goes silent or offers older state.
func (l *Link) followOne(ctx context.Context, url string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silent := time.AfterFunc(Silence, func() { cancel(errors.New("no message within the silence bound")) })
	defer silent.Stop()
	client := replicav1connect.NewReplicaQueryServiceClient(l.Client, url)
	stream, err := client.Follow(ctx, connect.NewRequest(&replicav1.FollowRequest{EntryId: string(l.ID), FromIndex: uint64(l.held.Index)}))
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		silent.Reset(Silence)
		if err := l.accept(ctx, stream.Msg()); err != nil {
			return err
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return stream.Err()
}

// accept applies one message of the stream and posts what follows from it.
func (l *Link) accept(ctx context.Context, m *replicav1.FollowResponse) error {
	received := time.Now()
	next, changed, err := l.next(m)
	if errors.Is(err, query.ErrOlder) {
		event.FollowRefused.Log(l.Log, zap.Uint64("held", uint64(l.held.Index)), zap.Uint64("offered", m.Index))
	}
	if err != nil {
		return err
	}
	l.held = next
	replaceLatest(l.inForce, next)
	replaceLatest(l.leader, m.LeaderAddress)
	if changed {
		if err := l.Port.Send(ctx, entry.TrafficChanged{View: next}); err != nil {
			return err
		}
	}
	at := received.Add(-time.Duration(m.LeaderContactMs) * time.Millisecond)
	return l.Port.Send(ctx, entry.ControlContact{At: at})
}

func (l *Link) next(m *replicav1.FollowResponse) (view query.Traffic, changed bool, err error) {
	switch {
	case len(m.Snapshot) > 0:
		offered, err := codec.DecodeTraffic(m.Snapshot)
		if err != nil {
			return l.held, false, err
		}
		view, err = l.held.Replace(offered)
		return view, true, err
	case len(m.Delta) > 0:
		delta, err := codec.DecodeDelta(m.Delta)
		if err != nil {
			return l.held, false, err
		}
		view, err = l.held.Apply(delta)
		return view, true, err
	case model.Term(m.Term) < l.held.Term || model.Index(m.Index) < l.held.Index:
		return l.held, false, query.ErrOlder
	case model.Index(m.Index) > l.held.Index:
		return l.held, false, fmt.Errorf("follow: at index %d: %w", m.Index, query.ErrGap)
	}
	view = l.held
	view.Term = model.Term(m.Term)
	return view, false, nil
}

// replaceLatest leaves only the newest value in a channel of capacity one.
// There is a single sender.
func replaceLatest[T any](ch chan T, v T) {
	select {
	case <-ch:
	default:
	}
	ch <- v
}
