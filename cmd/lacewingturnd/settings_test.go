package main

import (
	"testing"

	"gotest.tools/v3/assert"

	"lacewingturn.example/node/settings"
)

func valid(t *testing.T) flags {
	return flags{
		Name: "c1", Roles: []string{"control", "entry"}, Region: "r1", DataCenter: "dc1", Rack: "a",
		InternalAddress: "127.0.0.1:7400", PublicAddress: "127.0.0.1:7480", OperatorAddress: "127.0.0.1:7490",
		DataFolder: t.TempDir(), Replicas: []string{"c1@dc1=127.0.0.1:7400", "c2@dc2=127.0.0.1:7401"},
		DrainTimeout: "60s", LogLevel: "info", LogFormat: "json",
	}
}

// Guards against correct settings that are refused.
func TestValidSettings(t *testing.T) {
	s, err := valid(t).check()
	assert.NilError(t, err)
	assert.Equal(t, s.Replicas[1].DataCenter, "dc2")
}

// Guards against a process that starts with wrong settings, or that names only some of them.
func TestWrongSettingsAreReportedTogether(t *testing.T) {
	f := valid(t)
	f.Name, f.Roles, f.DataCenter = "", []string{"queen"}, "a b"
	f.Replicas = []string{"c2", "c3=host:1"}
	f.DrainTimeout, f.LogLevel, f.InternalCert = "soon", "loud", "/nowhere/cert.pem"
	_, err := f.check()
	problems := err.(settings.Problems)
	flagsSeen := map[string]bool{}
	for _, p := range problems {
		flagsSeen[p.Flag] = true
	}
	for _, want := range []string{"name", "roles", "data-center", "replicas", "drain-timeout", "log-level", "internal-cert"} {
		assert.Assert(t, flagsSeen[want], "no problem reported for --%s in:\n%v", want, err)
	}
}

// Guards against a control replica that would not be found by the others.
func TestControlReplicaMustBeListed(t *testing.T) {
	f := valid(t)
	f.Replicas = []string{"c2=127.0.0.1:7401"}
	_, err := f.check()
	assert.ErrorContains(t, err, "or --join")
	f.Join = true
	_, err = f.check()
	assert.NilError(t, err)
}
