package peer

import (
	"sync/atomic"

	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// KindStats counts the messages of one kind and the bytes of their encoded
// envelopes, without the frame headers of drpc and TLS.
type KindStats struct {
	Messages uint64
	Bytes    uint64
}

// Stats are totals since the mesh was created. The keys of In and Out are the
// names of the fields of Envelope, such as "reserve_reply".
type Stats struct {
	In  map[string]KindStats
	Out map[string]KindStats
	// WireIn and WireOut are the bytes of TCP payload, TLS records included.
	WireIn  uint64
	WireOut uint64
	// Refused counts messages that Send refused because a send ring was full.
	Refused uint64
	// Flushes counts flushes of the connections' write buffers. Several messages
	// may share one.
	Flushes uint64
}

// kindNameByNumber holds the field names of Envelope by field number. Index 0 is for
// envelopes without a body.
var kindNameByNumber = kindNames()

// kindCount is one more than the highest field number of Envelope.
const kindCount = 30

type kindCounter struct {
	messages atomic.Uint64
	bytes    atomic.Uint64
}

// counters are the totals of a mesh. The arrays are indexed by field number.
type counters struct {
	in, out          [kindCount]kindCounter
	wireIn, wireOut  atomic.Uint64
	refused, flushes atomic.Uint64
}

func kindNames() [kindCount]string {
	var names [kindCount]string
	names[0] = "empty"
	fields := (&peerpb.Envelope{}).ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		names[fields.Get(i).Number()] = string(fields.Get(i).Name())
	}
	return names
}

// kindOf returns the field number of the message's body, or 0 without a body.
func kindOf(m *peerpb.Envelope) protoreflect.FieldNumber {
	switch m.Body.(type) {
	case *peerpb.Envelope_Hello:
		return 1
	case *peerpb.Envelope_Ping:
		return 2
	case *peerpb.Envelope_Pong:
		return 3
	case *peerpb.Envelope_Reserve:
		return 4
	case *peerpb.Envelope_ReserveReply:
		return 5
	case *peerpb.Envelope_CancelReserve:
		return 6
	case *peerpb.Envelope_Release:
		return 7
	case *peerpb.Envelope_Preempt:
		return 8
	case *peerpb.Envelope_Resync:
		return 9
	case *peerpb.Envelope_Members:
		return 10
	case *peerpb.Envelope_ConfigAnnounce:
		return 11
	case *peerpb.Envelope_ConfigPull:
		return 12
	case *peerpb.Envelope_ConfigData:
		return 13
	}
	return kindByReflection(m)
}

// kindByReflection returns the field number of the message's body by protobuf
// reflection. It is used for the kinds that are sent less often.
func kindByReflection(m *peerpb.Envelope) protoreflect.FieldNumber {
	reflected := m.ProtoReflect()
	field := reflected.WhichOneof(reflected.Descriptor().Oneofs().Get(0))
	if field == nil || field.Number() >= kindCount {
		return 0
	}
	return field.Number()
}

// countMessage adds a message of size encoded bytes to the counter of its kind.
func countMessage(table *[kindCount]kindCounter, m *peerpb.Envelope, size int) {
	c := &table[kindOf(m)]
	c.messages.Add(1)
	c.bytes.Add(uint64(size))
}

// Stats returns the totals. Message kinds that were never sent or received are
// absent from the maps.
func (m *Mesh) Stats() Stats {
	return Stats{
		In:      statsByKind(&m.stats.in),
		Out:     statsByKind(&m.stats.out),
		WireIn:  m.stats.wireIn.Load(),
		WireOut: m.stats.wireOut.Load(),
		Refused: m.stats.refused.Load(),
		Flushes: m.stats.flushes.Load(),
	}
}

func statsByKind(table *[kindCount]kindCounter) map[string]KindStats {
	result := map[string]KindStats{}
	for i := range table {
		if n := table[i].messages.Load(); n > 0 {
			result[kindNameByNumber[i]] = KindStats{Messages: n, Bytes: table[i].bytes.Load()}
		}
	}
	return result
}
