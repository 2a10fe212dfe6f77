package prober

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/ebonylock/ebonylock/modules/encoder"
)

// Protobuf field numbers: the first group belongs to Packet, the second to Member.
const (
	fieldKind     = 1
	fieldSeq      = 2
	fieldFrom     = 3
	fieldTarget   = 4
	fieldRevision = 5
	fieldSent     = 6
	fieldUpdate   = 7
	fieldLogical  = 8

	fieldID          = 1
	fieldDataCentre  = 2
	fieldGossip      = 3
	fieldLink        = 4
	fieldOperators   = 5
	fieldIncarnation = 6
	fieldEpoch       = 7
	fieldCounter     = 8
	fieldState       = 9
	fieldDraining    = 10
	fieldCapacity    = 11
)

// maxUpdates is the largest number of member updates that Decode accepts in a packet.
const maxUpdates = 64

// Append appends the encoded packet to b and returns the extended slice.
func (in Packet) Append(b []byte) []byte {
	b = encoder.AppendVarint(b, fieldKind, uint64(in.Kind))
	b = encoder.AppendVarint(b, fieldSeq, in.Seq)
	b = encoder.AppendBytes(b, fieldFrom, []byte(in.From))
	b = encoder.AppendAddr(b, fieldTarget, in.Target)
	b = encoder.AppendVarint(b, fieldRevision, in.Revision)
	b = encoder.AppendVarint(b, fieldSent, uint64(in.Sent.UnixMicro()))
	b = encoder.AppendVarint(b, fieldLogical, uint64(in.Logical))
	for _, m := range in.Updates {
		b = encoder.AppendBytes(b, fieldUpdate, m.Append(nil))
	}
	return b
}

// Append appends the encoded member to b and returns the extended slice.
func (m Member) Append(b []byte) []byte {
	b = encoder.AppendBytes(b, fieldID, []byte(m.ID))
	b = encoder.AppendBytes(b, fieldDataCentre, []byte(m.DataCentre))
	b = encoder.AppendAddr(b, fieldGossip, m.Gossip)
	b = encoder.AppendAddr(b, fieldLink, m.Link)
	b = encoder.AppendAddr(b, fieldOperators, m.Operators)
	b = encoder.AppendVarint(b, fieldIncarnation, m.Incarnation)
	b = encoder.AppendVarint(b, fieldEpoch, m.Epoch)
	b = encoder.AppendVarint(b, fieldCounter, m.Counter)
	b = encoder.AppendVarint(b, fieldState, uint64(m.State))
	if m.Draining {
		b = encoder.AppendVarint(b, fieldDraining, 1)
	}
	b = encoder.AppendVarint(b, fieldCapacity, m.Capacity)
	return b
}

// Decode decodes a packet. Errors match encoder.ErrMalformed.
func Decode(b []byte) (Packet, error) {
	var out Packet
	err := encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) error {
		switch num {
		case fieldKind:
			out.Kind = PacketKind(v)
		case fieldSeq:
			out.Seq = v
		case fieldFrom:
			out.From = string(raw)
		case fieldTarget:
			return encoder.DecodeAddr(&out.Target, raw)
		case fieldRevision:
			out.Revision = v
		case fieldSent:
			out.Sent = time.UnixMicro(int64(v))
		case fieldLogical:
			out.Logical = uint32(v)
		case fieldUpdate:
			m, err := DecodeMember(raw)
			out.Updates = append(out.Updates, m)
			if len(out.Updates) > maxUpdates {
				return encoder.ErrMalformed
			}
			return err
		}
		return nil
	})
	if err == nil && (out.Kind < Ping || out.Kind > Sync || out.From == "") {
		err = encoder.ErrMalformed
	}
	return out, err
}

// DecodeMember decodes a member encoded by Member.Append. Errors match encoder.ErrMalformed.
func DecodeMember(b []byte) (Member, error) {
	var m Member
	err := encoder.Fields(b, func(num protowire.Number, v uint64, raw []byte) error {
		switch num {
		case fieldID:
			m.ID = string(raw)
		case fieldDataCentre:
			m.DataCentre = string(raw)
		case fieldGossip:
			return encoder.DecodeAddr(&m.Gossip, raw)
		case fieldLink:
			return encoder.DecodeAddr(&m.Link, raw)
		case fieldOperators:
			return encoder.DecodeAddr(&m.Operators, raw)
		case fieldIncarnation:
			m.Incarnation = v
		case fieldEpoch:
			m.Epoch = v
		case fieldCounter:
			m.Counter = v
		case fieldState:
			if v > uint64(Left) {
				return encoder.ErrMalformed
			}
			m.State = State(v)
		case fieldDraining:
			m.Draining = v != 0
		case fieldCapacity:
			m.Capacity = v
		}
		return nil
	})
	if err == nil && m.ID == "" {
		err = encoder.ErrMalformed
	}
	return m, err
}
