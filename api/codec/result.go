package codec

import (
	"fmt"

	"lacewingturn.example/core/result"
)

// wireResult is the wire form of result.Result. Keys are numbers and empty fields
// are omitted to save bytes, because the results of worker reports are a part of
// the control traffic of every node.
type wireResult struct {
	Code        result.Code      `cbor:"1,keyasint,omitempty"`
	Detail      string           `cbor:"2,keyasint,omitempty"`
	Revision    uint64           `cbor:"3,keyasint,omitempty"`
	Value       string           `cbor:"4,keyasint,omitempty"`
	Conflict    *result.Conflict `cbor:"5,keyasint,omitempty"`
	Body        []byte           `cbor:"6,keyasint,omitempty"`
	Status      int              `cbor:"7,keyasint,omitempty"`
	ContentType string           `cbor:"8,keyasint,omitempty"`
	BodyOmitted bool             `cbor:"9,keyasint,omitempty"`
	Work        *wireWork        `cbor:"10,keyasint,omitempty"`
}

type wireWork struct {
	_       struct{} `cbor:",toarray"`
	LeaseMs uint32
	NextMs  uint32
	Jobs    []wireAnswer
}

type wireAnswer struct {
	_     struct{} `cbor:",toarray"`
	Token uint64
	Code  result.Code
	Asked string
}

// EncodeResult returns the wire form of r. It fails only if r cannot be encoded.
func EncodeResult(r result.Result) ([]byte, error) {
	w := wireResult{
		Code: r.Code, Detail: r.Detail, Revision: r.Revision, Value: r.Value, Conflict: r.Conflict,
		Body: r.Body, Status: r.Status, ContentType: r.ContentType, BodyOmitted: r.BodyOmitted,
	}
	if r.Work != nil {
		w.Work = &wireWork{LeaseMs: r.Work.LeaseMs, NextMs: r.Work.NextMs}
		for _, j := range r.Work.Jobs {
			w.Work.Jobs = append(w.Work.Jobs, wireAnswer{Token: j.Token, Code: j.Code, Asked: j.Asked})
		}
	}
	return encoder.Marshal(w)
}

// DecodeResult decodes the wire form of a result. It returns an error if the data is
// malformed.
func DecodeResult(data []byte) (result.Result, error) {
	var w wireResult
	if err := decoder.Unmarshal(data, &w); err != nil {
		return result.Result{}, fmt.Errorf("codec: decode result: %w", err)
	}
	r := result.Result{
		Code: w.Code, Detail: w.Detail, Revision: w.Revision, Value: w.Value, Conflict: w.Conflict,
		Body: w.Body, Status: w.Status, ContentType: w.ContentType, BodyOmitted: w.BodyOmitted,
	}
	if w.Work != nil {
		r.Work = &result.Work{LeaseMs: w.Work.LeaseMs, NextMs: w.Work.NextMs}
		for _, j := range w.Work.Jobs {
			r.Work.Jobs = append(r.Work.Jobs, result.WorkAnswer{Token: j.Token, Code: j.Code, Asked: j.Asked})
		}
	}
	return r, nil
}
