package record

import (
	"bufio"
	"context"
	"os"
	"sync/atomic"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"lacewingturn.example/api/codec"
	"lacewingturn.example/core/model"
	"lacewingturn.example/node/event"
	replicacommand "lacewingturn.example/replica/command"
)

// recorderCapacity is the number of inputs that can be queued for the disk. When
// the queue is full, inputs are dropped and recording continues from a new
// snapshot.
const recorderCapacity = 4096

// digestEvery is the number of commands after which a digest is written.
const digestEvery = 1000

// Recorder writes the committed inputs of a replica to a file in the background.
type Recorder struct {
	file    *os.File
	buffer  *bufio.Writer
	writer  *Writer
	log     *zap.Logger
	inputs  chan replicacommand.AppliedCommand
	dropped atomic.Uint64

	// The fields below are used only by the goroutine of Run.
	last   model.Index // index of the last recorded input
	count  int         // commands since the last digest
	failed bool
}

// NewRecorder returns a Recorder that writes to the file at path, which it creates
// or truncates. Run must be called to write the inputs and to close the file.
func NewRecorder(path string, log *zap.Logger) (*Recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	b := bufio.NewWriter(f)
	return &Recorder{file: f, buffer: b, writer: NewWriter(b), log: log, inputs: make(chan replicacommand.AppliedCommand, recorderCapacity)}, nil
}

// OnCommitted queues one committed input without blocking; it drops the input if
// the queue is full. The control loop calls it right before it applies the input.
func (r *Recorder) OnCommitted(in replicacommand.AppliedCommand) {
	select {
	case r.inputs <- in:
	default:
		r.dropped.Add(1)
	}
}

// Run writes inputs until ctx ends, then the inputs still queued, and closes the
// file.
func (r *Recorder) Run(ctx context.Context) {
	defer r.close()
	for {
		select {
		case in := <-r.inputs:
			r.record(in)
		case <-ctx.Done():
			r.drain()
			return
		}
	}
}

// drain writes the queued inputs without waiting for more.
func (r *Recorder) drain() {
	for {
		select {
		case in := <-r.inputs:
			r.record(in)
		default:
			return
		}
	}
}

func (r *Recorder) close() {
	if err := r.buffer.Flush(); err != nil {
		event.RecordFailed.Log(r.log, zap.Error(err))
	}
	_ = r.file.Close()
}

// record writes one input. After a failed write it stops recording; the replica
// itself continues.
func (r *Recorder) record(in replicacommand.AppliedCommand) {
	if r.failed {
		return
	}
	if err := r.write(in); err != nil {
		r.failed = true
		event.RecordFailed.Log(r.log, zap.Error(err))
	}
}

func (r *Recorder) write(in replicacommand.AppliedCommand) error {
	if r.last == 0 || in.Before.Index != r.last {
		if err := r.writer.Snapshot(in.Before); err != nil {
			return err
		}
	} else if r.count >= digestEvery {
		r.count = 0
		if err := r.writer.Digest(in.Before); err != nil {
			return err
		}
	}
	data, err := codec.EncodeEnvelope(in.Envelope)
	if err != nil {
		return err
	}
	r.last = in.Index
	r.count++
	return r.writer.Command(in.Index, in.Term, data)
}
