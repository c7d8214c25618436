package command

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"lacewingturn.example/core/command/credit"
	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/entry/command/announce"
	"lacewingturn.example/node/event"
)

// announceTimeout bounds the commit of an announcement. It leaves a target
// enough time to retry at another entry instance within 3 s.
const announceTimeout = 1200 * time.Millisecond

// Limits of one target if the configuration sets none.
const (
	defaultSlots       = 8
	defaultConnections = 64
)

// announceResponse is the JSON body of a response to an announcement.
type announceResponse struct {
	Code        result.Code `json:"code"`
	Name        string      `json:"name"`
	Detail      string      `json:"detail,omitempty"`
	HeartbeatMs int64       `json:"heartbeat_ms"`
}

// RegisterTargets adds the routes at which targets join, send heartbeats and
// announce that they are leaving.
func (g *Gateway) RegisterTargets(r *mux.Router) {
	r.HandleFunc("/targets/{id}/join", g.serveJoin).Methods(http.MethodPost)
	r.HandleFunc("/targets/{id}/heartbeat", g.serveHeartbeat).Methods(http.MethodPost)
	r.HandleFunc("/targets/{id}/leaving", g.serveLeaving).Methods(http.MethodPost)
}

func (g *Gateway) serveJoin(w http.ResponseWriter, r *http.Request) {
	j, err := announce.DecodeJoin(r.Body, g.announceLimits())
	if err != nil {
		g.writeAnnounceResponse(w, result.New(result.InvalidInput, "%v", err))
		return
	}
	t := model.Target{
		ID: model.TargetID(mux.Vars(r)["id"]), Instance: j.Instance, Service: j.Service, Address: j.Address,
		Slots: j.Slots, Connections: j.Connections, Generation: j.Generation, Phase: model.TargetReady,
	}
	if res := g.checkJoin(t); !res.Code.OK() {
		g.writeAnnounceResponse(w, res)
		return
	}
	g.writeAnnounceResponse(w, g.commitTarget(t))
}

// checkJoin rejects a target whose service or instance is not in the
// configuration, because it would never get a request.
func (g *Gateway) checkJoin(t model.Target) result.Result {
	v := g.source.View()
	if v == nil || v.Traffic.Config == nil {
		return result.New(result.EntryStale, "no configuration is in force here yet")
	}
	if _, ok := v.Services[t.Service]; !ok {
		return result.New(result.NotFound, "service: there is no service %q", t.Service)
	}
	if !v.Traffic.Instances.Has(t.Instance) {
		return result.New(result.NotFound, "instance: there is no instance %q", t.Instance)
	}
	return result.Result{}
}

func (g *Gateway) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	h, err := announce.DecodeHeartbeat(r.Body)
	if err != nil {
		g.writeAnnounceResponse(w, result.New(result.InvalidInput, "%v", err))
		return
	}
	id := model.TargetID(mux.Vars(r)["id"])
	if res := g.checkKnown(id, h.Generation); !res.Code.OK() {
		g.writeAnnounceResponse(w, res)
		return
	}
	message := credit.Heartbeat{Key: credit.TargetIncarnation{Target: id, Generation: h.Generation}, Sequence: h.Sequence, Running: slotsByMember(h.Running)}
	if !g.port.TrySend(heartbeat{Heartbeat: message}) {
		g.writeAnnounceResponse(w, result.New(result.Overloaded, "the mailbox of the control loop is full"))
		return
	}
	g.writeAnnounceResponse(w, result.Result{})
}

// checkKnown rejects an announcement unless this generation of the target has
// joined and has not been declared lost. After NotFound the target joins again.
func (g *Gateway) checkKnown(id model.TargetID, generation uint64) result.Result {
	v := g.source.View()
	if v == nil {
		return result.New(result.EntryStale, "no configuration is in force here yet")
	}
	t, ok := v.Traffic.Targets.Get(id)
	switch {
	case !ok || t.Generation < generation:
		return result.New(result.NotFound, "generation %d of target %q has not joined", generation, id)
	case t.Generation > generation:
		return result.New(result.StaleToken, "target %q has joined with generation %d", id, t.Generation)
	case t.Phase == model.TargetLost:
		return result.New(result.NotFound, "target %q was considered lost and has to join again", id)
	}
	return result.Result{}
}

func (g *Gateway) serveLeaving(w http.ResponseWriter, r *http.Request) {
	l, err := announce.DecodeLeaving(r.Body)
	if err != nil {
		g.writeAnnounceResponse(w, result.New(result.InvalidInput, "%v", err))
		return
	}
	id := model.TargetID(mux.Vars(r)["id"])
	if res := g.checkKnown(id, l.Generation); !res.Code.OK() {
		g.writeAnnounceResponse(w, res)
		return
	}
	t, _ := g.source.View().Traffic.Targets.Get(id)
	t.Phase = model.TargetLeaving
	g.writeAnnounceResponse(w, g.commitTarget(t))
}

// commitTarget proposes an announcement and retries until its result is certain
// or announceTimeout has passed.
func (g *Gateway) commitTarget(t model.Target) result.Result {
	task := &proposeTask{
		commands: []model.Command{model.AnnounceTarget{Target: t}}, until: time.Now().Add(announceTimeout), reply: make(chan proposeReply, 1),
	}
	g.proposer.submit(task)
	r := g.proposer.await(task).result
	fields := []zap.Field{zap.String("target", string(t.ID)), zap.Stringer("phase", t.Phase), zap.Stringer("result", r.Code)}
	if r.Code.OK() {
		event.TargetAnnounced.Log(g.log, fields...)
	} else {
		event.AnnouncementNotCommitted.Log(g.log, fields...)
	}
	return r
}

// announceLimits returns the most slots and connections that a target may announce.
func (g *Gateway) announceLimits() announce.Limits {
	limits := announce.Limits{Slots: defaultSlots, Connections: defaultConnections}
	if v := g.source.View(); v != nil && v.Traffic.Config != nil {
		if n := v.Traffic.Config.Limits.SlotsPerTarget; n > 0 {
			limits.Slots = n
		}
		if n := v.Traffic.Config.Limits.ConnectionsPerTarget; n > 0 {
			limits.Connections = n
		}
	}
	return limits
}

func (g *Gateway) writeAnnounceResponse(w http.ResponseWriter, r result.Result) {
	info := r.Code.Info()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(info.HTTP)
	_ = json.NewEncoder(w).Encode(announceResponse{Code: r.Code, Name: info.Name, Detail: r.Detail, HeartbeatMs: g.heartbeatInterval().Milliseconds()})
}

// heartbeatInterval returns the interval at which targets are told to send
// heartbeats.
func (g *Gateway) heartbeatInterval() time.Duration {
	v := g.source.View()
	if v == nil {
		return credit.HeartbeatInterval(0, 1)
	}
	return credit.HeartbeatInterval(v.Traffic.Targets.Len(), v.Traffic.Entries.Len())
}
