// Package site runs a complete site in one process on loopback: control replicas,
// entry instances, a stub of the platform, and stand-ins for targets and workers. The
// commands dev and demo and the fault tests use it.
package site

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"lacewingturn.example/cmd/internal/instance"
	"lacewingturn.example/core/model"
	"lacewingturn.example/node/server"
	"lacewingturn.example/node/telemetry"
)

// Size of the site.
const (
	dataCenters       = 3 // each has one control replica and one entry instance
	targetsPerService = 2
)

// Site is a running site. Stop ends it.
type Site struct {
	Folder   string              // holds the data and the recordings of all processes
	Controls []*instance.Process // control replicas
	Entries  []*instance.Process // entry instances
	Targets  []*Target           // added by StartTargets
	replicas []instance.Replica
	log      io.Writer

	platform     *server.Server
	stopPlatform context.CancelFunc
}

// New starts a stub of the platform for the instances, the control replicas and the
// entry instances. They keep their data and recordings in folder and write their logs
// to log. On an error, processes that have started keep running.
func New(ctx context.Context, folder string, instances []model.InstanceSpec, log io.Writer) (*Site, error) {
	s := &Site{Folder: folder, log: log}
	if err := s.startPlatform(ctx, instances); err != nil {
		return nil, err
	}
	for i := range dataCenters {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		s.replicas = append(s.replicas, instance.Replica{Name: fmt.Sprintf("control-%d", i+1), Address: address, DataCenter: dataCenter(i)})
	}
	for i := range dataCenters {
		if err := s.startControl(ctx, i); err != nil {
			return s, err
		}
	}
	for i := range dataCenters {
		if err := s.startEntry(ctx, i); err != nil {
			return s, err
		}
	}
	return s, nil
}

func dataCenter(i int) string { return fmt.Sprintf("dc%d", i+1) }

func domain(i int) model.Domain {
	return model.Domain{Region: "region1", DataCenter: dataCenter(i), Rack: "control"}
}

// freeAddress returns a loopback address with a free port. It closes the listener
// that reserved the port, so another process may take the port first. Replicas need
// each other's address before they start.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", trace.Wrap(err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (s *Site) settings(name string, role instance.Role, i int) (instance.Settings, error) {
	out := instance.Settings{
		Name: name, Roles: []instance.Role{role}, Domain: domain(i), Replicas: s.replicas,
		RecordFolder: s.Folder, DrainTimeout: 20 * time.Second, Log: telemetry.LogSettings{Level: "info", JSON: true},
	}
	var err error
	if out.InternalAddress, err = freeAddress(); err != nil {
		return out, err
	}
	if role == instance.RoleControl {
		out.InternalAddress = s.replicas[i].Address
		out.PlatformURL = "http://" + s.platform.Address()
		out.DataFolder = filepath.Join(s.Folder, name)
		out.OperatorAddress, err = freeAddress()
	} else {
		out.PublicAddress, err = freeAddress()
	}
	return out, err
}

func (s *Site) startControl(ctx context.Context, i int) error {
	settings, err := s.settings(s.replicas[i].Name, instance.RoleControl, i)
	if err != nil {
		return err
	}
	p, err := startProcess(ctx, settings, s.log)
	if err == nil {
		s.Controls = append(s.Controls, p)
	}
	return err
}

func (s *Site) startEntry(ctx context.Context, i int) error {
	settings, err := s.settings(fmt.Sprintf("entry-%d", i+1), instance.RoleEntry, i)
	if err != nil {
		return err
	}
	p, err := startProcess(ctx, settings, s.log)
	if err == nil {
		s.Entries = append(s.Entries, p)
	}
	return err
}

func startProcess(ctx context.Context, settings instance.Settings, log io.Writer) (*instance.Process, error) {
	p, err := instance.New(settings, log)
	if err != nil {
		return nil, err
	}
	return p, p.Start(ctx)
}

// EntryURLs returns the base URLs of the entry instances for callers, targets and
// workers.
func (s *Site) EntryURLs() []string {
	out := make([]string, 0, len(s.Entries))
	for _, e := range s.Entries {
		out = append(out, "http://"+e.Settings().PublicAddress)
	}
	return out
}

// OperatorAddresses returns the addresses of the operator interfaces of the control
// replicas.
func (s *Site) OperatorAddresses() []string {
	out := make([]string, 0, len(s.Controls))
	for _, c := range s.Controls {
		out = append(out, c.Settings().OperatorAddress)
	}
	return out
}

// Leader returns the first control replica that considers itself the leader, or nil
// if there is none.
func (s *Site) Leader() *instance.Process {
	for _, c := range s.Controls {
		if c.Replica.View().IsLeader {
			return c
		}
	}
	return nil
}

// StartTargets starts stand-in targets for each service of the configuration, on
// instances of its pool in different data centres. It returns the error of the first
// target that cannot join.
func (s *Site) StartTargets(ctx context.Context, c model.Config) error {
	for _, service := range c.Services {
		for _, spec := range targetInstances(c, service.Pool) {
			t := &Target{
				ID:       model.TargetID(fmt.Sprintf("%s-%s", service.Name, spec.ID)),
				Instance: spec.ID, Service: service.Name, Entries: s.EntryURLs,
			}
			if err := t.Start(ctx); err != nil {
				return err
			}
			s.Targets = append(s.Targets, t)
		}
	}
	return nil
}

// targetInstances returns the first instance of the pool in each data centre, for at
// most targetsPerService data centres.
func targetInstances(c model.Config, pool model.PoolName) []model.InstanceSpec {
	var out []model.InstanceSpec
	used := map[string]bool{}
	for _, i := range c.Instances {
		if i.Pool == pool && !used[i.Domain.DataCenter] && len(out) < targetsPerService {
			used[i.Domain.DataCenter] = true
			out = append(out, i)
		}
	}
	return out
}

// Stop shuts the site down gracefully: first the targets, then the entry instances,
// the control replicas and the platform stub. Processes of one kind stop at the same
// time. ctx bounds the whole shutdown; the error contains those of all processes.
func (s *Site) Stop(ctx context.Context) error {
	targets := stopAll(s.Targets, func(t *Target) error { return t.Leave(ctx) })
	entries := stopAll(s.Entries, func(p *instance.Process) error { return p.Stop(ctx) })
	controls := stopAll(s.Controls, func(p *instance.Process) error { return p.Stop(ctx) })
	platform := s.platform.Stop(ctx)
	s.stopPlatform()
	return trace.NewAggregate(targets, entries, controls, platform)
}

func stopAll[T any](list []T, stop func(T) error) error {
	errs := make([]error, len(list))
	var wg sync.WaitGroup
	for i, v := range list {
		wg.Go(func() { errs[i] = stop(v) })
	}
	wg.Wait()
	return trace.NewAggregate(errs...)
}

// TemporaryFolder creates an empty data folder and returns it with a function that
// removes the folder and its contents.
func TemporaryFolder() (string, func(), error) {
	folder, err := os.MkdirTemp("", "lacewingturn-")
	if err != nil {
		return "", nil, trace.Wrap(err)
	}
	return folder, func() { _ = os.RemoveAll(folder) }, nil
}
