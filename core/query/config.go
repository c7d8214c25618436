package query

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"lacewingturn.example/core/model"
)

// ConfigView is the body of the config query: the configuration of one revision.
type ConfigView struct {
	Revision   uint64        `json:"revision"`
	InForce    bool          `json:"in_force"`
	Base       uint64        `json:"base"` // the revision that it was derived from
	Actor      string        `json:"actor"`
	AcceptedAt time.Time     `json:"accepted_at"`
	Digest     string        `json:"digest"`
	Config     *model.Config `json:"config"`
	// Lines are the values of Config in readable form, each with the answer that it
	// was derived from.
	Lines []ConfigLine `json:"lines"`
	// Instances are the current pools of the instances. A move changes them without
	// a new revision.
	Instances []InstancePlace `json:"instances"`
}

// InstancePlace is the current pool and phase of an instance.
type InstancePlace struct {
	ID    string `json:"id"`
	Pool  string `json:"pool"`
	Home  string `json:"home"` // the pool that it is lent from; empty if it is not lent
	Phase string `json:"phase"`
}

// Digest returns the hex SHA-256 of the JSON form of a configuration. The JSON form
// has a fixed order and exact numbers, so equal digests mean equal configurations.
// It panics on values that JSON cannot express; validation excludes these.
func Digest(c model.Config) string {
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // unreachable: all types can be encoded and validation rejects NaN
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Config returns the configuration of a revision; 0 means the one in force. It
// reports false if the revision is not in the history. Before the first
// configuration is accepted, the view has revision 0 and no configuration.
func Config(s model.State, revision model.Revision) (ConfigView, bool) {
	if revision == 0 {
		revision = s.Revision
	}
	if revision == 0 {
		return ConfigView{InForce: true, Lines: []ConfigLine{}, Instances: []InstancePlace{}}, true
	}
	r, ok := s.History.Get(revision)
	if !ok {
		return ConfigView{}, false
	}
	v := ConfigView{
		Revision: uint64(r.Revision), InForce: r.Revision == s.Revision, Base: uint64(r.Base), Actor: r.Actor,
		AcceptedAt: utcTime(r.AcceptedAt), Digest: r.Digest, Config: r.Config,
		Lines: ConfigLines(*r.Config), Instances: []InstancePlace{},
	}
	for _, i := range s.Instances.All() {
		v.Instances = append(v.Instances, InstancePlace{ID: string(i.ID), Pool: string(i.Pool), Home: string(i.Home), Phase: i.Phase.String()})
	}
	return v, true
}

// HistoryView is the body of the history query, the newest revision first.
type HistoryView struct {
	Revision  uint64         `json:"revision"` // in force
	Revisions []HistoryEntry `json:"revisions"`
}

// HistoryEntry is one accepted configuration.
type HistoryEntry struct {
	Revision   uint64    `json:"revision"`
	Base       uint64    `json:"base"`
	Actor      string    `json:"actor"`
	AcceptedAt time.Time `json:"accepted_at"`
	RequestID  string    `json:"request_id"`
	Digest     string    `json:"digest"`
	// Changes are the differences from the previous revision; empty for the oldest
	// revision that is kept.
	Changes []string `json:"changes"`
}

// History returns the accepted configurations that are kept, with the differences
// between consecutive ones.
func History(s model.State) HistoryView {
	v := HistoryView{Revision: uint64(s.Revision), Revisions: []HistoryEntry{}}
	records := s.History.Values()
	for i := len(records) - 1; i >= 0; i-- {
		r := records[i]
		e := HistoryEntry{
			Revision: uint64(r.Revision), Base: uint64(r.Base), Actor: r.Actor, AcceptedAt: utcTime(r.AcceptedAt),
			RequestID: string(r.RequestID), Digest: r.Digest, Changes: []string{},
		}
		if i > 0 {
			e.Changes = append(e.Changes, DiffConfig(*records[i-1].Config, *r.Config)...)
		}
		v.Revisions = append(v.Revisions, e)
	}
	return v
}

// utcTime converts a timestamp; a timestamp of 0 becomes the zero time.
func utcTime(t model.Timestamp) time.Time {
	if t == 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(t)).UTC()
}
