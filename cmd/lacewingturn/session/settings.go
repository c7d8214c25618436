// Package session holds what all commands and queries of the operators' command line
// share: the settings, the client and the output.
package session

import (
	"crypto/tls"
	"time"

	"lacewingturn.example/node/server"
	"lacewingturn.example/node/settings"
	"lacewingturn.example/operator/client"
)

// Bounds of --timeout and --wait-timeout.
const (
	minTimeout = time.Second
	maxTimeout = time.Hour
)

// Flags are the settings as text, from flags and environment variables. Check converts
// them and reports all wrong ones together, which typed flags would not allow.
type Flags struct {
	Control     []string `help:"Addresses of the operator interfaces of the control replicas." default:"127.0.0.1:7490" env:"LACEWINGTURN_CONTROL" group:"Settings"`
	Cert        string   `help:"Certificate file of mutual TLS." env:"LACEWINGTURN_CERT" group:"Settings"`
	Key         string   `help:"Key file of mutual TLS." env:"LACEWINGTURN_KEY" group:"Settings"`
	CA          string   `help:"Authority file of mutual TLS." name:"ca" env:"LACEWINGTURN_CA" group:"Settings"`
	Actor       string   `help:"Name recorded with changes; a certificate overrides it." default:"${user}" env:"LACEWINGTURN_ACTOR" group:"Settings"`
	Timeout     string   `help:"Time limit of a command or query." default:"15s" env:"LACEWINGTURN_TIMEOUT" group:"Settings"`
	WaitTimeout string   `help:"Time limit of --wait." default:"60s" env:"LACEWINGTURN_WAIT_TIMEOUT" group:"Settings"`
	Output      string   `help:"Form of the output: table or json." default:"table" env:"LACEWINGTURN_OUTPUT" group:"Settings"`
}

// Settings are the settings after Check.
type Settings struct {
	Client      client.Settings
	Timeout     time.Duration
	WaitTimeout time.Duration
	JSON        bool
}

// Check converts the flags and adds every wrong one to c. The settings are usable only
// if c has no problems.
func (f Flags) Check(c *settings.Checker) Settings {
	s := Settings{
		Client:      client.Settings{Actor: f.Actor, TLS: f.tls(c)},
		Timeout:     c.Duration("timeout", f.Timeout, minTimeout, maxTimeout),
		WaitTimeout: c.Duration("wait-timeout", f.WaitTimeout, minTimeout, maxTimeout),
		JSON:        c.OneOf("output", f.Output, "table", "json") == "json",
	}
	for _, a := range f.Control {
		s.Client.Addresses = append(s.Client.Addresses, c.Address("control", a))
	}
	if len(f.Control) == 0 {
		c.Add("control", "", "at least one address is required")
	}
	return s
}

// tls returns the client side of mutual TLS, or nil if no files are given or some
// cannot be read.
func (f Flags) tls(c *settings.Checker) *tls.Config {
	readable := server.TLSFiles{Certificate: c.File("cert", f.Cert), Key: c.File("key", f.Key), Authority: c.File("ca", f.CA)}
	given := server.TLSFiles{Certificate: f.Cert, Key: f.Key, Authority: f.CA}
	if !given.Enabled() || readable != given {
		return nil
	}
	config, err := readable.Config()
	if err != nil {
		c.Add("cert", f.Cert, "%v", err)
	}
	return config
}
