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

// recorderCapacity is the number of inputs that wait for the disk. Inputs that
// find no room are left out, and the record goes on from a new snapshot.
const recorderCapacity = 4096

// digestEvery is the number of commands between two digests.
const digestEvery = 1000

// Recorder writes the inputs of a replica to a file.
type Recorder struct {
	file    *os.File
	buffer  *bufio.Writer
	writer  *Writer
	log     *zap.Logger
	inputs  chan replicacommand.Input
	dropped atomic.Uint64

	// The fields below belong to the goroutine of Run.
	last   model.Index // index of the last recorded input
	count  int         // commands since the last digest
	failed bool
}

// NewRecorder creates or truncates the file.
func NewRecorder(path string, log *zap.Logger) (*Recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	b := bufio.NewWriter(f)
	return &Recorder{file: f, buffer: b, writer: NewWriter(b), log: log, inputs: make(chan replicacommand.Input, recorderCapacity)}, nil
}

// Applied takes one input without waiting. It is called by the control loop.
func (r *Recorder) Applied(in replicacommand.Input) {
	select {
	case r.inputs <- in:
	default:
		r.dropped.Add(1)
	}
}

// Run writes inputs until ctx ends, then those that still wait.
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

// record writes one input. A failing disk ends the record, not the replica.
func (r *Recorder) record(in replicacommand.Input) {
	if r.failed {
		return
	}
	if err := r.write(in); err != nil {
		r.failed = true
		event.RecordFailed.Log(r.log, zap.Error(err))
	}
}

func (r *Recorder) write(in replicacommand.Input) error {
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
