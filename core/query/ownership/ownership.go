// Package ownership tells which entry instance owns the slots of a target, by
// rendezvous hashing over the members. Adding a member moves targets only to
// it, and removing one moves only its own.
package ownership

import (
	"hash/fnv"
	"io"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/table"
)

// Members of the control state that may own targets.
type Members = table.Table[model.EntryID, model.EntryMember]

// Of returns the owner of a target, passing over the member except; an empty
// except passes over nobody. It reports false if there is no member.
func Of(members Members, target model.TargetID, except model.EntryID) (model.EntryMember, bool) {
	var best model.EntryMember
	var top uint64
	found := false
	for id, m := range members.All() {
		if id == except && except != "" {
			continue
		}
		if w := weight(id, target); !found || w > top {
			best, top, found = m, w, true
		}
	}
	return best, found
}

func weight(id model.EntryID, target model.TargetID) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, string(id))
	_, _ = h.Write([]byte{0})
	_, _ = io.WriteString(h, string(target))
	return mix(h.Sum64())
}

// mix spreads the bits (the finalizer of MurmurHash3); FNV-1a alone gives
// similar weights to names that differ in their last character.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
