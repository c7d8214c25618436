// Package announce decodes the announcements that targets send. It validates only
// the form of a message; the entry instance and the control replicas decide
// whether to accept it.
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

// Limits of the messages. A message that exceeds one is rejected.
const (
	MaxBytes   = 64 << 10 // length of a body
	MaxName    = 128      // length of an identifier in bytes
	MaxRunning = 256      // requests listed in one heartbeat
)

// Join announces a target that is ready for requests.
type Join struct {
	Instance    model.InstanceID  `json:"instance"`
	Service     model.ServiceName `json:"service"`
	Address     string            `json:"address"`
	Generation  uint64            `json:"generation"`
	Slots       int               `json:"slots"`
	Connections int               `json:"connections"`
}

// Heartbeat reports that a target is alive and which requests it is running.
type Heartbeat struct {
	Generation uint64 `json:"generation"`
	// Sequence starts at 1 in each generation and grows with each heartbeat.
	Sequence uint64 `json:"sequence"`
	// Running lists the value of the Lacewingturn-Slot header of each request that
	// the target has received and not yet finished.
	Running []string `json:"running"`
}

// Leaving announces that a target accepts no new requests.
type Leaving struct {
	Generation uint64 `json:"generation"`
}

// Limits holds the largest number of slots and connections that a target may
// announce.
type Limits struct{ Slots, Connections int }

// DecodeJoin reads a Join. Slots and Connections default to those of limit. The
// error names each invalid field.
func DecodeJoin(r io.Reader, limit Limits) (Join, error) {
	j := Join{Slots: limit.Slots, Connections: limit.Connections}
	if err := decode(r, &j); err != nil {
		return Join{}, err
	}
	return j, errors.Join(
		checkName("instance", string(j.Instance)), checkName("service", string(j.Service)), checkAddress(j.Address),
		checkPositive("generation", j.Generation), checkRange("slots", j.Slots, limit.Slots), checkRange("connections", j.Connections, limit.Connections),
	)
}

// DecodeHeartbeat reads a Heartbeat. The error names each invalid field.
func DecodeHeartbeat(r io.Reader) (Heartbeat, error) {
	var h Heartbeat
	if err := decode(r, &h); err != nil {
		return Heartbeat{}, err
	}
	err := errors.Join(checkPositive("generation", h.Generation), checkPositive("sequence", h.Sequence))
	if len(h.Running) > MaxRunning {
		err = errors.Join(err, fmt.Errorf("running: lists %d requests, at most %d are possible", len(h.Running), MaxRunning))
	}
	for _, s := range h.Running {
		err = errors.Join(err, checkName("running", s))
	}
	return h, err
}

// DecodeLeaving reads a Leaving. The error names the invalid field.
func DecodeLeaving(r io.Reader) (Leaving, error) {
	var l Leaving
	if err := decode(r, &l); err != nil {
		return Leaving{}, err
	}
	return l, checkPositive("generation", l.Generation)
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

func checkName(field, v string) error {
	if v == "" {
		return fmt.Errorf("%s: is missing", field)
	}
	if len(v) > MaxName {
		return fmt.Errorf("%s: is longer than %d bytes", field, MaxName)
	}
	return nil
}

func checkPositive(field string, v uint64) error {
	if v == 0 {
		return fmt.Errorf("%s: must be a positive number", field)
	}
	return nil
}

func checkRange(field string, v, limit int) error {
	if v < 1 || v > limit {
		return fmt.Errorf("%s: is %d, must be from 1 to %d", field, v, limit)
	}
	return nil
}

// checkAddress accepts only an IP address with a port, because entry instances do
// not resolve host names of targets.
func checkAddress(v string) error {
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
