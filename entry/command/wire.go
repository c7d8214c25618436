package command

import (
	"errors"
	"strconv"
	"strings"
	"time"

	entryv1 "lacewingturn.example/api/gen/lacewingturn/entry/v1"
	"lacewingturn.example/core/command/credit"
	"lacewingturn.example/core/model"
)

var errMailboxFull = errors.New("entry: the mailbox is full")

// slotsByMember groups the slots of a heartbeat by the entry instance that
// assigned them. Names of another form were not assigned by an entry instance and
// are ignored.
func slotsByMember(slots []string) map[credit.Member][]string {
	out := map[credit.Member][]string{}
	for _, s := range slots {
		if m, ok := memberOfSlot(s); ok {
			out[m] = append(out[m], s)
		}
	}
	return out
}

func memberOfSlot(slot string) (credit.Member, bool) {
	member, _, ok := cutLast(slot)
	if !ok {
		return credit.Member{}, false
	}
	id, epoch, ok := cutLast(member)
	n, err := strconv.ParseUint(epoch, 10, 64)
	return credit.Member{Entry: model.EntryID(id), Epoch: n}, ok && err == nil && id != ""
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

func encodeMember(m credit.Member) *entryv1.Member {
	return &entryv1.Member{Entry: string(m.Entry), Epoch: m.Epoch}
}

func decodeMember(m *entryv1.Member) credit.Member {
	return credit.Member{Entry: model.EntryID(m.GetEntry()), Epoch: m.GetEpoch()}
}

// floorMs and ceilMs convert to milliseconds. Rounding down keeps a credit from
// lasting longer at the receiver, and rounding up keeps a heartbeat from appearing
// younger there.
func floorMs(d time.Duration) uint32 { return uint32(max(d, 0) / time.Millisecond) }

func ceilMs(d time.Duration) uint32 { return floorMs(d + time.Millisecond - 1) }

func fromMs(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func encodeReport(r credit.Report) *entryv1.SyncCreditsRequest {
	out := &entryv1.SyncCreditsRequest{Holder: encodeMember(r.From), Owner: encodeMember(r.To), Sequence: r.Sequence}
	for _, d := range r.Demands {
		out.Demands = append(out.Demands, &entryv1.CreditDemand{
			Target: string(d.Key.Target), Generation: d.Key.Generation, Held: uint32(d.Held), InUse: uint32(d.InUse),
			Wanted: uint32(d.Wanted), Abandoned: uint32(d.Abandoned),
		})
	}
	return out
}

// maxCount caps counts from the wire, so that sums cannot overflow.
const maxCount = 1 << 20

func boundedCount(n uint32) int { return int(min(n, maxCount)) }

func decodeReport(r *entryv1.SyncCreditsRequest) credit.Report {
	out := credit.Report{From: decodeMember(r.Holder), To: decodeMember(r.Owner), Sequence: r.Sequence}
	for _, d := range r.Demands {
		out.Demands = append(out.Demands, credit.Demand{
			Key:  credit.TargetIncarnation{Target: model.TargetID(d.Target), Generation: d.Generation},
			Held: boundedCount(d.Held), InUse: boundedCount(d.InUse), Wanted: boundedCount(d.Wanted), Abandoned: boundedCount(d.Abandoned),
		})
	}
	return out
}

func encodeGrants(a peerReply) *entryv1.SyncCreditsResponse {
	out := &entryv1.SyncCreditsResponse{Refused: !a.ok}
	for _, g := range a.grants {
		out.Grants = append(out.Grants, &entryv1.CreditGrant{
			Target: string(g.Key.Target), Generation: g.Key.Generation, Granted: uint32(g.Granted), ValidMs: floorMs(g.ValidFor),
			Beaten: g.HasHeartbeat, Running: g.Running, HeartbeatAgeMs: ceilMs(g.HeartbeatAge),
		})
	}
	return out
}

func decodeGrants(r *entryv1.SyncCreditsResponse) []credit.Grant {
	var out []credit.Grant
	for _, g := range r.Grants {
		out = append(out, credit.Grant{
			Key:     credit.TargetIncarnation{Target: model.TargetID(g.Target), Generation: g.Generation},
			Granted: boundedCount(g.Granted), ValidFor: fromMs(g.ValidMs),
			HasHeartbeat: g.Beaten, Running: g.Running, HeartbeatAge: fromMs(g.HeartbeatAgeMs),
		})
	}
	return out
}

func encodeHandovers(list []credit.Handover) *entryv1.HandOverRequest {
	out := &entryv1.HandOverRequest{}
	for _, h := range list {
		out.From = encodeMember(h.From)
		t := &entryv1.TargetHandover{Target: string(h.Key.Target), Generation: h.Key.Generation, WaitMs: ceilMs(h.Wait), Unknown: h.Unknown}
		for _, x := range h.Holders {
			t.Holders = append(t.Holders, &entryv1.HolderHandover{Member: encodeMember(x.Member), Bound: uint32(x.Bound), ValidMs: ceilMs(x.ValidFor)})
		}
		for _, m := range h.Pending {
			t.Pending = append(t.Pending, encodeMember(m))
		}
		out.Targets = append(out.Targets, t)
	}
	return out
}

func decodeHandovers(r *entryv1.HandOverRequest) []credit.Handover {
	var out []credit.Handover
	for _, t := range r.Targets {
		h := credit.Handover{
			From: decodeMember(r.From), Key: credit.TargetIncarnation{Target: model.TargetID(t.Target), Generation: t.Generation},
			Wait: fromMs(t.WaitMs), Unknown: t.Unknown,
		}
		for _, x := range t.Holders {
			h.Holders = append(h.Holders, credit.HandoverHolder{Member: decodeMember(x.Member), Bound: boundedCount(x.Bound), ValidFor: fromMs(x.ValidMs)})
		}
		for _, m := range t.Pending {
			h.Pending = append(h.Pending, decodeMember(m))
		}
		out = append(out, h)
	}
	return out
}

func encodeHeartbeats(list []credit.Heartbeat) *entryv1.ForwardAnnouncementsRequest {
	out := &entryv1.ForwardAnnouncementsRequest{}
	for _, b := range list {
		h := &entryv1.Heartbeat{Target: string(b.Key.Target), Generation: b.Key.Generation, Sequence: b.Sequence}
		for _, slots := range b.Running {
			h.Running = append(h.Running, slots...)
		}
		out.Heartbeats = append(out.Heartbeats, h)
	}
	return out
}
