package faults

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/operator/client"
)

func TestMain(m *testing.M) {
	code := m.Run()
	RemoveBinary()
	os.Exit(code)
}

// callReply is a call, the entry instance that it was sent to, and the reply.
type callReply struct {
	call  Call
	entry *Process
	reply Reply
}

// load sends calls until stop is called.
type load struct {
	site   *Site
	http   *http.Client
	cancel context.CancelFunc
	all    sync.WaitGroup
	count  atomic.Int64

	mu      sync.Mutex
	replies []callReply
}

// startLoad starts the given number of senders for each entry instance. A sender that
// gets no complete answer continues with the next call after a short pause.
func startLoad(s *Site, senders int, nonIdempotent bool, run time.Duration, entries ...*Process) *load {
	ctx, cancel := context.WithCancel(s.t.Context())
	l := &load{site: s, cancel: cancel, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: senders}}}
	for _, e := range entries {
		for i := range senders {
			l.all.Go(func() { l.send(ctx, e, i, nonIdempotent, run) })
		}
	}
	return l
}

func (l *load) send(ctx context.Context, e *Process, sender int, nonIdempotent bool, run time.Duration) {
	for n := 0; ctx.Err() == nil; n++ {
		c := NewCall(fmt.Sprintf("%s-%d-%d", e.Name, sender, n), nonIdempotent, run)
		r := l.site.Send(context.WithoutCancel(ctx), l.http, e, c)
		l.mu.Lock()
		l.replies = append(l.replies, callReply{c, e, r})
		l.mu.Unlock()
		if r.Complete {
			l.count.Add(1)
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// progress waits until n more calls have complete answers.
func (l *load) progress(n int64) {
	l.site.t.Helper()
	from := l.count.Load()
	l.site.WaitUntil(fmt.Sprintf("%d more calls have complete answers", n), func() bool { return l.count.Load() >= from+n })
}

// stop ends the load after the calls in flight and returns all replies.
func (l *load) stop() []callReply {
	l.cancel()
	l.all.Wait()
	l.http.CloseIdleConnections()
	return l.replies
}

// checkOnce checks the replies to non-idempotent calls against the runs that the
// targets have counted. Then it resends calls to the other entry instances: none may
// run again, and a call that was done must get its recorded answer. It returns the
// number of calls by outcome.
func checkOnce(s *Site, replies []callReply, others ...*Process) (done, notRun, unknown int) {
	t := s.t
	t.Helper()
	check := func(a callReply) {
		runs := s.Runs(a.call.Key)
		switch {
		case a.reply.Done():
			assert.Check(t, a.reply.Complete && runs == 1, "%s: %d runs", a.reply, runs)
			done++
		case a.reply.NotRun():
			assert.Check(t, runs == 0, "%s: %d runs", a.reply, runs)
			notRun++
		default:
			assert.Check(t, runs <= 1, "%s: %d runs", a.reply, runs)
			unknown++
		}
	}
	for _, a := range replies {
		check(a)
	}
	c := &http.Client{}
	var all sync.WaitGroup
	slots := make(chan struct{}, 8)
	for i, a := range replies {
		if i%max(1, len(replies)/100) != 0 && a.reply.Done() {
			continue // resend all calls without a recorded outcome and about a hundred others
		}
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			resent := s.Send(t.Context(), c, others[i%len(others)], a.call)
			runs := s.Runs(a.call.Key)
			assert.Check(t, runs <= 1, "%s after %s: %d runs", resent, a.reply, runs)
			if a.reply.Done() {
				assert.Check(t, resent.Code == result.Recorded && resent.Body == a.reply.Body, "first %s, then %s", a.reply, resent)
			}
			if resent.Done() {
				assert.Check(t, runs == 1, "%s after %s: %d runs", resent, a.reply, runs)
			}
		})
	}
	all.Wait()
	c.CloseIdleConnections()
	return done, notRun, unknown
}

// change is an operator command and its result.
type change struct {
	id      model.RequestID
	command model.AcceptConfig
	result  result.Result
}

// changes submits configurations one after the other until stop is called.
type changes struct {
	site   *Site
	cancel context.CancelFunc
	all    sync.WaitGroup
	count  atomic.Int64
	list   []change // written by the submitting goroutine; read after it has ended
}

func startChanges(s *Site) *changes {
	ctx, cancel := context.WithCancel(s.t.Context())
	c := &changes{site: s, cancel: cancel}
	operator := s.Operator("stream")
	c.all.Go(func() {
		base := model.Revision(1)
		for n := 0; ctx.Err() == nil; n++ {
			next := change{id: client.NewRequestID(), command: model.AcceptConfig{Base: base, Config: s.ConfigWithSiteName(fmt.Sprintf("stream-%d", n))}}
			call, done := context.WithTimeout(context.WithoutCancel(ctx), waitTimeout)
			next.result = operator.Submit(call, next.id, next.command)
			done()
			c.list = append(c.list, next)
			if next.result.Code != result.Accepted {
				return
			}
			base = model.Revision(next.result.Revision)
			c.count.Add(1)
		}
	})
	return c
}

func (c *changes) progress(n int64) {
	c.site.t.Helper()
	from := c.count.Load()
	c.site.WaitUntil(fmt.Sprintf("%d more changes are accepted", n), func() bool { return c.count.Load() >= from+n })
}

// stop checks that every change was accepted once and that a resend gets the
// first result, and returns the newest revision.
func (c *changes) stop() uint64 {
	t := c.site.t
	t.Helper()
	c.cancel()
	c.all.Wait()
	operator := c.site.Operator("stream")
	newest := uint64(1)
	for i, x := range c.list {
		assert.Equal(t, x.result.Code, result.Accepted, "%s", x.result.Error())
		assert.Equal(t, x.result.Revision, newest+1, "a change was lost or applied twice")
		newest = x.result.Revision
		if i%max(1, len(c.list)/50) == 0 || i == len(c.list)-1 {
			resent := operator.Submit(t.Context(), x.id, x.command)
			assert.DeepEqual(t, resent, x.result)
		}
	}
	return newest
}

// revisionWatch polls the revisions and log indices that entry instances report. It fails
// the test if an instance reports an older one than before.
type revisionWatch struct {
	site   *Site
	cancel context.CancelFunc
	all    sync.WaitGroup
	reads  atomic.Int64
	failed atomic.Pointer[string]
}

func startRevisionWatch(s *Site, entries ...*Process) *revisionWatch {
	ctx, cancel := context.WithCancel(s.t.Context())
	w := &revisionWatch{site: s, cancel: cancel}
	for _, e := range entries {
		w.all.Go(func() {
			var last Readiness
			for ctx.Err() == nil {
				if r, ok := s.Readiness(e); ok {
					if r.Revision < last.Revision || r.Index < last.Index {
						text := fmt.Sprintf("%s went from revision %d, index %d to revision %d, index %d", e.Name, last.Revision, last.Index, r.Revision, r.Index)
						w.failed.Store(&text)
					}
					last = r
					w.reads.Add(1)
				}
				select {
				case <-ctx.Done():
				case <-time.After(5 * time.Millisecond):
				}
			}
		})
	}
	return w
}

func (w *revisionWatch) stop() {
	w.site.t.Helper()
	w.cancel()
	w.all.Wait()
	if text := w.failed.Load(); text != nil {
		w.site.t.Error(*text)
	}
	assert.Check(w.site.t, w.reads.Load() > 0)
}

// slowest returns the longest time that a call took.
func slowest(list []callReply) (d time.Duration) {
	for _, a := range list {
		d = max(d, a.reply.Duration)
	}
	return d
}
