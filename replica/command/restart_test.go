package command

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"lacewingturn.example/node/loop"
	"lacewingturn.example/replica/raft"
	"lacewingturn.example/replica/storage"
)

// ignore is a loop.StateMachine that ignores all messages.
type ignore struct{}

func (ignore) Handle(time.Time, loop.Message) {}
func (ignore) Tick(time.Time)                 {}
func (ignore) Deadline() time.Time            { return time.Time{} }
func (ignore) Flush(time.Time)                {}

// Guards against a replica that stays inactive permanently after a temporary failure
// of its disk, such as a full disk. If a second replica then fails, the site has no
// quorum.
func TestReplicaEndsOnceItsDiskTakesWritesAgain(t *testing.T) {
	folder, err := storage.OpenFolder(t.TempDir())
	assert.NilError(t, err)
	disk := &failingFS{FS: folder}
	store, _, err := storage.Open(disk, "r1", "1")
	assert.NilError(t, err)
	defer store.Close()
	l := loop.New(1)
	port := l.Add(ignore{})
	go l.Run(t.Context())
	w := newWriter(store, nil, zap.NewNop())
	w.batches <- writeBatch{writes: []raft.Write{{Seq: 1, Hard: &raft.HardState{Term: 1}}}}
	disk.failing.Store(true)
	ended := make(chan error, 1)
	go func() { ended <- w.run(context.Background(), port) }()
	select {
	case err := <-ended:
		t.Fatalf("run returned %v while the disk was failing", err)
	case <-time.After(2 * probeInterval):
	}
	disk.failing.Store(false)
	assert.ErrorIs(t, <-ended, ErrRestart)
}
