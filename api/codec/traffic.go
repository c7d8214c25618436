package codec

import (
	"fmt"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/query"
	"lacewingturn.example/core/table"
)

// trafficImage is the wire form of query.Traffic.
type trafficImage struct {
	Term      model.Term
	Index     model.Index
	Revision  model.Revision
	Config    *model.Config
	Instances []model.Instance
	Targets   []model.Target
	Entries   []model.EntryMember
}

// EncodeTraffic returns the wire form of a traffic view.
func EncodeTraffic(t query.Traffic) ([]byte, error) {
	return encoder.Marshal(trafficImage{
		Term: t.Term, Index: t.Index, Revision: t.Revision, Config: t.Config,
		Instances: t.Instances.Values(), Targets: t.Targets.Values(), Entries: t.Entries.Values(),
	})
}

// DecodeTraffic decodes the wire form of a traffic view. It returns an error if the
// data is malformed.
func DecodeTraffic(data []byte) (query.Traffic, error) {
	var m trafficImage
	if err := decoder.Unmarshal(data, &m); err != nil {
		return query.Traffic{}, fmt.Errorf("codec: decode traffic view: %w", err)
	}
	return query.Traffic{
		Term: m.Term, Index: m.Index, Revision: m.Revision, Config: m.Config,
		Instances: table.FromValues(m.Instances, func(v model.Instance) model.InstanceID { return v.ID }),
		Targets:   table.FromValues(m.Targets, func(v model.Target) model.TargetID { return v.ID }),
		Entries:   table.FromValues(m.Entries, func(v model.EntryMember) model.EntryID { return v.ID }),
	}, nil
}

// EncodeDelta returns the wire form of a delta between two traffic views.
func EncodeDelta(d query.TrafficDelta) ([]byte, error) { return encoder.Marshal(d) }

// DecodeDelta decodes the wire form of a delta between two traffic views. It returns
// an error if the data is malformed.
func DecodeDelta(data []byte) (query.TrafficDelta, error) {
	var d query.TrafficDelta
	if err := decoder.Unmarshal(data, &d); err != nil {
		return d, fmt.Errorf("codec: decode traffic delta: %w", err)
	}
	return d, nil
}
