package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// tailTarget is the target_ms of the serving task.
const tailTarget = 100

// tail returns the tail of the response times of a serving task in milliseconds. Under load a
// task that fills beside it disturbs it as soon as it works at all.
func tail(loaded bool, fillerPercent int) int {
	switch {
	case !loaded:
		return 40
	case fillerPercent == 0:
		return 75
	}
	return 130 + fillerPercent
}

// answers is the path between one worker and a control address. While it is cut, what the
// worker sends on open connections arrives, and nothing comes back.
type answers struct {
	to       string
	listener net.Listener

	mu  sync.Mutex
	cut bool
}

func newAnswers(to string) (*answers, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &answers{to: to, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go a.serve(c)
		}
	}()
	return a, nil
}

func (a *answers) setCut(cut bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cut = cut
}

func (a *answers) isCut() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cut
}

// serve forwards one connection. One that is opened while the path is cut never opens.
func (a *answers) serve(c net.Conn) {
	defer c.Close()
	if a.isCut() {
		_, _ = io.Copy(io.Discard, c) // until the worker gives up
		return
	}
	out, err := net.DialTimeout("tcp", a.to, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		_, _ = io.Copy(out, c) // ends with either connection
		out.Close()
	}()
	buffer := make([]byte, 64<<10)
	lost := false
	for {
		n, err := out.Read(buffer)
		lost = lost || a.isCut()
		if n > 0 && !lost {
			if _, err := c.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
