package main

import (
	"encoding/json"
	"os"
	"sync"
	"time"
)

// record writes one line of JSON for each event: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// event is one line of the record.
type event struct {
	Ms   int64  `json:"ms"` // since the start of the case
	Who  string `json:"who"`
	What string `json:"what"`
	Data any    `json:"data,omitempty"`
}

func (r *record) add(who, what string, data any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line, err := json.Marshal(event{time.Since(r.started).Milliseconds(), who, what, data})
	if err != nil {
		line = []byte(err.Error())
	}
	_, _ = r.file.Write(append(line, '\n')) // the exit status of the case does not depend on the record
}
