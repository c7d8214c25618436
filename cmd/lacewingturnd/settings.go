package main

import (
	"strconv"
	"strings"
	"time"

	"lacewingturn.example/cmd/internal/instance"
	"lacewingturn.example/core/model"
	"lacewingturn.example/node/server"
	"lacewingturn.example/node/settings"
	"lacewingturn.example/node/telemetry"
)

// Bounds of --drain-timeout.
const (
	minDrainTimeout = time.Second
	maxDrainTimeout = 24 * time.Hour
)

// Bounds of --memory-mb.
const (
	minMemoryMB = 64
	maxMemoryMB = 1 << 20
)

// flags are the settings as text, from flags and environment variables. check converts
// them and reports all wrong ones together, which typed flags would not allow.
type flags struct {
	Name            string   `help:"Name of this instance, unique in the system." env:"LACEWINGTURN_NAME"`
	Roles           []string `help:"Roles: control, entry." default:"entry" env:"LACEWINGTURN_ROLES"`
	Region          string   `help:"Region of this instance." env:"LACEWINGTURN_REGION"`
	DataCenter      string   `help:"Data centre of this instance." env:"LACEWINGTURN_DATA_CENTER"`
	Rack            string   `help:"Rack of this instance." default:"r0" env:"LACEWINGTURN_RACK"`
	InternalAddress string   `help:"IP number and port for other processes of the system." default:"127.0.0.1:7400" env:"LACEWINGTURN_INTERNAL_ADDRESS"`
	InternalListen  string   `help:"Address to listen on instead of the internal address, when others reach this instance through a forwarder." env:"LACEWINGTURN_INTERNAL_LISTEN"`
	PublicAddress   string   `help:"IP number and port for callers and targets (role entry)." default:"127.0.0.1:7480" env:"LACEWINGTURN_PUBLIC_ADDRESS"`
	OperatorAddress string   `help:"IP number and port for operators (role control)." default:"127.0.0.1:7490" env:"LACEWINGTURN_OPERATOR_ADDRESS"`
	DataFolder      string   `help:"Folder of the durable state (role control)." env:"LACEWINGTURN_DATA_FOLDER"`
	Replicas        []string `help:"Control replicas as name=address or name@data-centre=address." env:"LACEWINGTURN_REPLICAS"`
	Join            bool     `help:"Join an existing group of replicas instead of forming a new one (role control)." env:"LACEWINGTURN_JOIN"`
	PlatformURL     string   `help:"Base URL of the platform's drain and reboot interface (role control)." name:"platform-url" env:"LACEWINGTURN_PLATFORM_URL"`
	InternalCert    string   `help:"Certificate file of mutual TLS between processes." env:"LACEWINGTURN_INTERNAL_CERT"`
	InternalKey     string   `help:"Key file of mutual TLS between processes." env:"LACEWINGTURN_INTERNAL_KEY"`
	InternalCA      string   `help:"Authority file of mutual TLS between processes." name:"internal-ca" env:"LACEWINGTURN_INTERNAL_CA"`
	OperatorCert    string   `help:"Certificate file of mutual TLS for operators." env:"LACEWINGTURN_OPERATOR_CERT"`
	OperatorKey     string   `help:"Key file of mutual TLS for operators." env:"LACEWINGTURN_OPERATOR_KEY"`
	OperatorCA      string   `help:"Authority file of mutual TLS for operators." name:"operator-ca" env:"LACEWINGTURN_OPERATOR_CA"`
	MemoryMB        int64    `help:"Memory that this process may take, in MiB. A quarter is for connections and unfinished requests." name:"memory-mb" default:"256" env:"LACEWINGTURN_MEMORY_MB"`
	DrainTimeout    string   `help:"Longest wait for requests in flight at a graceful shutdown." default:"60s" env:"LACEWINGTURN_DRAIN_TIMEOUT"`
	LogLevel        string   `help:"debug, info, warn or error." default:"info" env:"LACEWINGTURN_LOG_LEVEL"`
	LogFormat       string   `help:"json or console." default:"json" env:"LACEWINGTURN_LOG_FORMAT"`
	TraceEndpoint   string   `help:"URL of an OTLP/HTTP collector; empty records no traces." env:"LACEWINGTURN_TRACE_ENDPOINT"`
	Record          string   `help:"Folder that receives recorded control inputs and traffic; empty records nothing." env:"LACEWINGTURN_RECORD"`
}

// check converts the settings. The error lists every wrong one.
func (f flags) check() (instance.Settings, error) {
	var c settings.Checker
	s := instance.Settings{
		Name:            c.Name("name", f.Name),
		Roles:           parseRoles(&c, f.Roles),
		Domain:          model.Domain{Region: c.Name("region", f.Region), DataCenter: c.Name("data-center", f.DataCenter), Rack: c.Name("rack", f.Rack)},
		InternalAddress: c.Address("internal-address", f.InternalAddress),
		Replicas:        parseReplicas(&c, f.Replicas),
		JoinOnly:        f.Join,
		PlatformURL:     f.PlatformURL,
		InternalTLS:     tlsFiles(&c, "internal", f.InternalCert, f.InternalKey, f.InternalCA),
		OperatorTLS:     tlsFiles(&c, "operator", f.OperatorCert, f.OperatorKey, f.OperatorCA),
		MemoryLimit:     f.MemoryMB << 20,
		DrainTimeout:    c.Duration("drain-timeout", f.DrainTimeout, minDrainTimeout, maxDrainTimeout),
		Log: telemetry.LogSettings{
			Level: c.OneOf("log-level", f.LogLevel, "debug", "info", "warn", "error"),
			JSON:  c.OneOf("log-format", f.LogFormat, "json", "console") == "json",
		},
		TraceEndpoint: f.TraceEndpoint,
		RecordFolder:  f.Record,
	}
	if f.MemoryMB < minMemoryMB || f.MemoryMB > maxMemoryMB {
		c.Add("memory-mb", strconv.FormatInt(f.MemoryMB, 10), "must be between %d and %d", minMemoryMB, maxMemoryMB)
	}
	if f.InternalListen != "" {
		s.InternalListen = c.Address("internal-listen", f.InternalListen)
	}
	if s.Has(instance.RoleEntry) {
		s.PublicAddress = c.Address("public-address", f.PublicAddress)
	}
	if s.Has(instance.RoleControl) {
		s.OperatorAddress = c.Address("operator-address", f.OperatorAddress)
		s.DataFolder = c.Folder("data-folder", f.DataFolder)
		checkOwnReplica(&c, s)
	}
	if f.Record != "" {
		c.Folder("record", f.Record)
	}
	return s, c.Err()
}

func parseRoles(c *settings.Checker, names []string) []instance.Role {
	var out []instance.Role
	for _, n := range names {
		if r := c.OneOf("roles", n, string(instance.RoleControl), string(instance.RoleEntry)); r != "" {
			out = append(out, instance.Role(r))
		}
	}
	return out
}

// parseReplicas parses entries of the form name=address or name@data-centre=address and
// adds every wrong one to c.
func parseReplicas(c *settings.Checker, entries []string) []instance.Replica {
	if len(entries) == 0 {
		c.Add("replicas", "", "at least one control replica is required")
	}
	var out []instance.Replica
	seen := map[string]bool{}
	for _, e := range entries {
		name, address, ok := strings.Cut(e, "=")
		if !ok {
			c.Add("replicas", e, "must be name=address or name@data-centre=address")
			continue
		}
		name, center, _ := strings.Cut(name, "@")
		if seen[name] {
			c.Add("replicas", e, "the name %q is used twice", name)
		}
		seen[name] = true
		out = append(out, instance.Replica{Name: c.Name("replicas", name), Address: c.Address("replicas", address), DataCenter: center})
	}
	return out
}

// checkOwnReplica checks that a control replica is in the list of replicas with its own
// internal address. A replica that joins an existing group may be missing from it.
func checkOwnReplica(c *settings.Checker, s instance.Settings) {
	for _, r := range s.Replicas {
		if r.Name != s.Name {
			continue
		}
		if r.Address != s.InternalAddress {
			c.Add("replicas", r.Address, "the address of %s differs from --internal-address %s", s.Name, s.InternalAddress)
		}
		return
	}
	if !s.JoinOnly && s.Name != "" {
		c.Add("replicas", s.Name, "role control needs this instance in the list of replicas, or --join")
	}
}

// tlsFiles returns the files of one group of TLS flags and adds to c those that cannot be
// read, and a group of which only a part is given.
func tlsFiles(c *settings.Checker, group, cert, key, ca string) server.TLSFiles {
	f := server.TLSFiles{
		Certificate: c.File(group+"-cert", cert),
		Key:         c.File(group+"-key", key),
		Authority:   c.File(group+"-ca", ca),
	}
	set := 0
	for _, v := range []string{cert, key, ca} {
		if v != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		c.Add(group+"-cert", cert, "mutual TLS needs --%s-cert, --%s-key and --%s-ca together", group, group, group)
	}
	return f
}
