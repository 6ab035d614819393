package allowance

import (
	"cmp"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// Gang is the position of a waiting gang job in the order in which the gang jobs of one team may claim its ceiling.
// Without one order for all shards, two gang jobs could each hold a part of the ceiling that the other one needs.
type Gang struct {
	AcceptedUnixMs int64
	Job            string
}

// Before reports whether g claims the ceiling before other. The zero value stands for no gang job and comes last.
func (g Gang) Before(other Gang) bool {
	if g.Job == "" || other.Job == "" {
		return g.Job != ""
	}
	return cmp.Or(cmp.Compare(g.AcceptedUnixMs, other.AcceptedUnixMs), cmp.Compare(g.Job, other.Job)) < 0
}

func (g Gang) proto() *siskinv1.WaitingGang {
	if g.Job == "" {
		return nil
	}
	return &siskinv1.WaitingGang{AcceptedUnixMs: g.AcceptedUnixMs, Job: g.Job}
}

func gangFromProto(message *siskinv1.WaitingGang) Gang {
	return Gang{AcceptedUnixMs: message.GetAcceptedUnixMs(), Job: message.GetJob()}
}

// yieldTo lets the shard keep only what it runs for yieldDuration if the gang job of the asking shard precedes its own.
func (m *Manager) yieldTo(s *state, asking Gang) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if asking.Before(s.gang) {
		s.yieldUntil = m.options.Clock.Now().Add(yieldDuration)
	}
}
