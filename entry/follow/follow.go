// Package follow connects an entry instance to the control replicas. It streams
// the changes of the traffic view and renews the membership lease of the
// instance, and posts the results of both to the entry machine.
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

// StreamIdleTimeout is the idle timeout of a follow stream: a stream without a
// message for this long is closed and counts as lost. A replica that has no changes
// to send sends a message every 600 ms.
const StreamIdleTimeout = 1500 * time.Millisecond

// RetryDelay is the pause after a lost stream before the next replica is tried.
const RetryDelay = 100 * time.Millisecond

// Settings configures a Link.
type Settings struct {
	ID      model.EntryID
	Address string // host:port at which other processes reach this instance
	Domain  model.Domain
	// Replicas are the base URLs of the control replicas, those of this
	// instance's data centre first.
	Replicas []string
	Client   *http.Client
	Control  entry.Control
	Log      *zap.Logger
	// Port is the mailbox of the entry machine.
	Port loop.Port
}

// Link is the connection of one entry instance to the control replicas. Only the
// goroutine that follows accesses the current view; only the goroutine that
// renews accesses the epoch. The channels pass values from the first to the second.
type Link struct {
	Settings
	current      query.Traffic
	latestView   chan query.Traffic
	latestLeader chan string
}

// New returns a link that contacts no replica before Run is called.
func New(s Settings) *Link {
	return &Link{Settings: s, latestView: make(chan query.Traffic, 1), latestLeader: make(chan string, 1)}
}

// Run follows and renews until ctx ends, then removes the membership of the
// instance and returns.
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
		err := l.followReplica(ctx, url)
		if ctx.Err() != nil {
			return
		}
		event.FollowStreamLost.Log(l.Log, zap.String("replica", url), zap.Error(err))
		if wait.Sleep(ctx, RetryDelay) != nil {
			return
		}
	}
}

// followReplica reads the stream of one replica until the stream ends, exceeds its
// idle timeout, or carries a message that does not apply to the current view.
func (l *Link) followReplica(ctx context.Context, url string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silent := time.AfterFunc(StreamIdleTimeout, func() { cancel(errors.New("follow stream idle for longer than its timeout")) })
	defer silent.Stop()
	client := replicav1connect.NewReplicaQueryServiceClient(l.Client, url)
	stream, err := client.Follow(ctx, connect.NewRequest(&replicav1.FollowRequest{EntryId: string(l.ID), FromIndex: uint64(l.current.Index)}))
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		silent.Reset(StreamIdleTimeout)
		if err := l.applyMessage(ctx, stream.Msg()); err != nil {
			return err
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return stream.Err()
}

// applyMessage applies one message of the stream to the view. It posts the view, if
// that changed, and the time of the replica's last contact with a leader to the
// entry machine.
func (l *Link) applyMessage(ctx context.Context, m *replicav1.FollowResponse) error {
	received := time.Now()
	next, changed, err := l.nextView(m)
	if errors.Is(err, query.ErrStale) {
		event.OlderStateRefused.Log(l.Log, zap.Uint64("held", uint64(l.current.Index)), zap.Uint64("offered", m.Index))
	}
	if err != nil {
		return err
	}
	l.current = next
	replaceLatest(l.latestView, next)
	replaceLatest(l.latestLeader, m.LeaderAddress)
	if changed {
		if err := l.Port.Send(ctx, entry.TrafficChanged{View: next}); err != nil {
			return err
		}
	}
	at := received.Add(-time.Duration(m.LeaderContactMs) * time.Millisecond)
	return l.Port.Send(ctx, entry.ViewConfirmed{At: at})
}

// nextView returns the view after a message, and whether anything but its term
// changed. The error is query.ErrStale for an older state, query.ErrGap if a change
// was missed, or that of the decoder.
func (l *Link) nextView(m *replicav1.FollowResponse) (view query.Traffic, changed bool, err error) {
	switch {
	case len(m.Snapshot) > 0:
		offered, err := codec.DecodeTraffic(m.Snapshot)
		if err != nil {
			return l.current, false, err
		}
		view, err = l.current.Replace(offered)
		return view, true, err
	case len(m.Delta) > 0:
		delta, err := codec.DecodeDelta(m.Delta)
		if err != nil {
			return l.current, false, err
		}
		view, err = l.current.Apply(delta)
		return view, true, err
	case model.Term(m.Term) < l.current.Term || model.Index(m.Index) < l.current.Index:
		return l.current, false, query.ErrStale
	case model.Index(m.Index) > l.current.Index:
		return l.current, false, fmt.Errorf("follow: the replica is at index %d: %w", m.Index, query.ErrGap)
	}
	view = l.current
	view.Term = model.Term(m.Term)
	return view, false, nil
}

// replaceLatest replaces the value in a channel of capacity one, so that the
// receiver gets only the newest. It must have a single sender, else it can block.
func replaceLatest[T any](ch chan T, v T) {
	select {
	case <-ch:
	default:
	}
	ch <- v
}
