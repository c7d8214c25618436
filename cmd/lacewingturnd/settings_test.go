package main

import (
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/node/settings"
)

// validFlags returns correct flags of a control replica that is an entry instance too.
func validFlags(t *testing.T) flags {
	return flags{
		Name: "c1", Roles: []string{"control", "entry"}, Region: "r1", DataCenter: "dc1", Rack: "a",
		InternalAddress: "127.0.0.1:7400", PublicAddress: "127.0.0.1:7480", OperatorAddress: "127.0.0.1:7490",
		DataFolder: t.TempDir(), Replicas: []string{"c1@dc1=127.0.0.1:7400", "c2@dc2=127.0.0.1:7401"},
		MemoryMB: 256, DrainTimeout: "60s", LogLevel: "info", LogFormat: "json",
	}
}

// Guards against a check that refuses correct settings, or loses the data centre of a
// replica.
func TestValidSettings(t *testing.T) {
	s, err := validFlags(t).check()
	assert.NilError(t, err)
	assert.Equal(t, s.Replicas[1].DataCenter, "dc2")
}

// Guards against a process that starts with wrong settings, or reports only some of
// several wrong ones.
func TestWrongSettingsAreReportedTogether(t *testing.T) {
	f := validFlags(t)
	f.Name, f.Roles, f.DataCenter = "", []string{"queen"}, "a b"
	f.Replicas = []string{"c2", "c3=host:1"}
	f.MemoryMB = 1
	f.DrainTimeout, f.LogLevel, f.InternalCert = "soon", "loud", "/nowhere/cert.pem"
	_, err := f.check()
	problems := err.(settings.Problems)
	flagsSeen := map[string]bool{}
	for _, p := range problems {
		flagsSeen[p.Flag] = true
	}
	for _, want := range []string{"name", "roles", "data-center", "replicas", "memory-mb", "drain-timeout", "log-level", "internal-cert"} {
		assert.Assert(t, flagsSeen[want], "no problem reported for --%s in:\n%v", want, err)
	}
}

// Guards against a control replica that the others cannot reach, because it is missing
// from its own list of replicas and does not join an existing group either.
func TestControlReplicaMustBeListed(t *testing.T) {
	f := validFlags(t)
	f.Replicas = []string{"c2=127.0.0.1:7401"}
	_, err := f.check()
	assert.ErrorContains(t, err, "or --join")
	f.Join = true
	_, err = f.check()
	assert.NilError(t, err)
}
