// Package announce decodes what targets announce about themselves. It checks
// the form of a message only; whether it is accepted is decided elsewhere.
package announce

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"

	"lacewingturn.example/core/model"
)

// Limits of the messages.
const (
	MaxBytes   = 64 << 10
	MaxName    = 128 // length of an identifier in bytes
	MaxRunning = 256 // requests listed in one heartbeat
)

// Join announces a target that is ready for work.
type Join struct {
	Instance    model.InstanceID  `json:"instance"`
	Service     model.ServiceName `json:"service"`
	Address     string            `json:"address"`
	Generation  uint64            `json:"generation"`
	Slots       int               `json:"slots"`
	Connections int               `json:"connections"`
}

// Heartbeat states that a target is alive and which requests it runs.
type Heartbeat struct {
	Generation uint64 `json:"generation"`
	// Sequence grows with each heartbeat of a generation, from 1.
	Sequence uint64 `json:"sequence"`
	// Running lists the Lacewingturn-Slot header of each request that the
	// target has received and not yet ended.
	Running []string `json:"running"`
}

// Leaving announces that a target takes no new work.
type Leaving struct {
	Generation uint64 `json:"generation"`
}

// Offer is what a worker offers at most; a target cannot announce more.
type Offer struct{ Slots, Connections int }

// DecodeJoin reads a join. Slots and connections that are left out are those of the offer.
func DecodeJoin(r io.Reader, most Offer) (Join, error) {
	j := Join{Slots: most.Slots, Connections: most.Connections}
	if err := decode(r, &j); err != nil {
		return Join{}, err
	}
	return j, errors.Join(
		name("instance", string(j.Instance)), name("service", string(j.Service)), address(j.Address),
		positive("generation", j.Generation), between("slots", j.Slots, most.Slots), between("connections", j.Connections, most.Connections),
	)
}

// DecodeHeartbeat reads a heartbeat.
func DecodeHeartbeat(r io.Reader) (Heartbeat, error) {
	var h Heartbeat
	if err := decode(r, &h); err != nil {
		return Heartbeat{}, err
	}
	err := errors.Join(positive("generation", h.Generation), positive("sequence", h.Sequence))
	if len(h.Running) > MaxRunning {
		err = errors.Join(err, fmt.Errorf("running: lists %d requests, at most %d are possible", len(h.Running), MaxRunning))
	}
	for _, s := range h.Running {
		err = errors.Join(err, name("running", s))
	}
	return h, err
}

// DecodeLeaving reads a leaving announcement.
func DecodeLeaving(r io.Reader) (Leaving, error) {
	var l Leaving
	if err := decode(r, &l); err != nil {
		return Leaving{}, err
	}
	return l, positive("generation", l.Generation)
}

func decode(r io.Reader, v any) error {
	d := json.NewDecoder(io.LimitReader(r, MaxBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("body: more than one JSON value, or longer than 64 KiB")
	}
	return nil
}

func name(field, v string) error {
	if v == "" {
		return fmt.Errorf("%s: is missing", field)
	}
	if len(v) > MaxName {
		return fmt.Errorf("%s: is longer than %d bytes", field, MaxName)
	}
	return nil
}

func positive(field string, v uint64) error {
	if v == 0 {
		return fmt.Errorf("%s: must be a positive number", field)
	}
	return nil
}

func between(field string, v, most int) error {
	if v < 1 || v > most {
		return fmt.Errorf("%s: is %d, must be from 1 to %d", field, v, most)
	}
	return nil
}

// address accepts an IP address and port, because processes use no names.
func address(v string) error {
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		return fmt.Errorf("address: %q is not host:port", v)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("address: %q is not an IP address", host)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("address: %q is not a port", port)
	}
	return nil
}
