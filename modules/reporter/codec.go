package reporter

import (
	"errors"
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed says that bytes are no tallies or verdicts.
var ErrMalformed = errors.New("malformed evidence")

const (
	// unit is the resolution of the numbers sent.
	unit = 1.0 / 64
	// mostSent bounds them.
	mostSent = 1 << 20
)

func appendNumber(b []byte, v float64) []byte {
	return protowire.AppendVarint(b, uint64(min(max(v, 0), mostSent)/unit))
}

// AppendTallies writes tallies.
func AppendTallies(b []byte, list []Tally) []byte {
	for _, t := range list {
		b = protowire.AppendFixed64(b, t.Replica)
		b = appendNumber(b, t.Served)
		b = appendNumber(b, t.Failed)
		b = appendNumber(b, t.RelativeTime)
	}
	return b
}

// AppendVerdicts writes verdicts.
func AppendVerdicts(b []byte, list []Verdict) []byte {
	for _, v := range list {
		b = protowire.AppendFixed64(b, v.Replica)
		b = appendNumber(b, v.FailureRate)
		b = appendNumber(b, v.LatencyRatio)
	}
	return b
}

// decode reads entries of a replica and n numbers each, Most at the most.
func decode(b []byte, n int, take func(replica uint64, v [3]float64)) error {
	for entries := 0; len(b) > 0; entries++ {
		replica, used := protowire.ConsumeFixed64(b)
		if used < 0 || entries >= MaxEntries {
			return ErrMalformed
		}
		b = b[used:]
		var v [3]float64
		for i := range n {
			number, used := protowire.ConsumeVarint(b)
			if used < 0 {
				return ErrMalformed
			}
			b = b[used:]
			v[i] = math.Min(float64(number)*unit, mostSent)
		}
		take(replica, v)
	}
	return nil
}

// DecodeTallies reads what AppendTallies wrote. Errors match ErrMalformed.
func DecodeTallies(b []byte) (list []Tally, err error) {
	err = decode(b, 3, func(replica uint64, v [3]float64) {
		list = append(list, Tally{Replica: replica, Served: v[0], Failed: v[1], RelativeTime: v[2]})
	})
	return list, err
}

// DecodeVerdicts reads what AppendVerdicts wrote. Errors match ErrMalformed.
func DecodeVerdicts(b []byte) (list []Verdict, err error) {
	err = decode(b, 2, func(replica uint64, v [3]float64) {
		list = append(list, Verdict{Replica: replica, FailureRate: min(v[0], 1), LatencyRatio: max(v[1], 1)})
	})
	return list, err
}
