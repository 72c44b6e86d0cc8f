package moves

import (
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/rollout"
)

func rowMessage(move string, sequence uint64, row []byte) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_MoveState{MoveState: &peerpb.MoveState{
		Move:     move,
		Sequence: sequence,
		Row:      row,
	}}}
}

func cutMessage(move string, attempt int, reason, origin string) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_MoveCut{MoveCut: &peerpb.MoveCut{
		Move:    move,
		Attempt: uint64(attempt),
		Reason:  reason,
		Origin:  origin,
	}}}
}

func evidenceMessage(e *rollout.Evidence) *peerpb.Envelope {
	m := &peerpb.Evidence{Move: e.Move, Attempt: uint64(e.Attempt), Origin: e.Origin, Sequence: e.Sequence}
	for i := range e.Strata {
		c := &e.Strata[i]
		m.Cells = append(m.Cells, &peerpb.EvidenceCell{
			Version:   c.Version,
			Route:     c.Route,
			Target:    c.Target,
			Load:      c.Load,
			Requests:  c.Requests,
			Errors:    c.Errors,
			Timed:     c.Timed,
			Slow:      c.Slow,
			Paced:     c.Paced,
			SlowPaced: c.SlowPaced,
		})
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_Evidence{Evidence: m}}
}

func decodeEvidence(m *peerpb.Evidence) *rollout.Evidence {
	e := &rollout.Evidence{Move: m.Move, Attempt: int(m.Attempt), Origin: m.Origin, Sequence: m.Sequence}
	for _, c := range m.Cells {
		e.Strata = append(e.Strata, rollout.StratumCounts{
			Version:   c.Version,
			Route:     c.Route,
			Target:    c.Target,
			Load:      c.Load,
			Requests:  c.Requests,
			Errors:    c.Errors,
			Timed:     c.Timed,
			Slow:      c.Slow,
			Paced:     c.Paced,
			SlowPaced: c.SlowPaced,
		})
	}
	return e
}
