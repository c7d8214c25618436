// Package ownership determines which entry instance owns the slots of a target, by
// rendezvous hashing over the members. A new member takes over targets only for
// itself, and the removal of a member reassigns only that member's targets.
package ownership

import (
	"hash/fnv"
	"io"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/table"
)

// Members are the entry instances that may own targets.
type Members = table.Table[model.EntryID, model.EntryMember]

// Owner returns the owner of a target. The member except is not considered; an empty
// except excludes none. It reports false if no member is left.
func Owner(members Members, target model.TargetID, except model.EntryID) (model.EntryMember, bool) {
	var best model.EntryMember
	var highest uint64
	found := false
	for id, m := range members.All() {
		if id == except && except != "" {
			continue
		}
		if w := weight(id, target); !found || w > highest {
			best, highest, found = m, w, true
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

// mix is the finalizer of MurmurHash3. FNV-1a alone gives similar weights to names
// that differ only in the last character.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
