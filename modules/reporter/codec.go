package reporter

import (
	"errors"
	"math"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed is returned for input that does not decode as tallies or verdicts.
var ErrMalformed = errors.New("malformed tallies or verdicts")

const (
	// resolution is that of the encoded numbers.
	resolution = 1.0 / 64
	// maxNumber is the largest encoded number.
	maxNumber = 1 << 20
)

func appendNumber(b []byte, v float64) []byte {
	return protowire.AppendVarint(b, uint64(min(max(v, 0), maxNumber)/resolution))
}

// AppendTallies appends the encoded tallies to b.
func AppendTallies(b []byte, list []Tally) []byte {
	for _, t := range list {
		b = protowire.AppendFixed64(b, t.Replica)
		b = appendNumber(b, t.Served)
		b = appendNumber(b, t.Failed)
		b = appendNumber(b, t.RelativeTime)
	}
	return b
}

// AppendVerdicts appends the encoded verdicts to b.
func AppendVerdicts(b []byte, list []Verdict) []byte {
	for _, v := range list {
		b = protowire.AppendFixed64(b, v.Replica)
		b = appendNumber(b, v.FailureRate)
		b = appendNumber(b, v.LatencyRatio)
	}
	return b
}

// decode calls emit for each entry, which consists of a replica and n numbers. More than MaxEntries
// entries are malformed.
func decode(b []byte, n int, emit func(replica uint64, v [3]float64)) error {
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
			v[i] = math.Min(float64(number)*resolution, maxNumber)
		}
		emit(replica, v)
	}
	return nil
}

// DecodeTallies decodes the output of AppendTallies. Errors match ErrMalformed.
func DecodeTallies(b []byte) (list []Tally, err error) {
	err = decode(b, 3, func(replica uint64, v [3]float64) {
		list = append(list, Tally{Replica: replica, Served: v[0], Failed: v[1], RelativeTime: v[2]})
	})
	return list, err
}

// DecodeVerdicts decodes the output of AppendVerdicts. Errors match ErrMalformed.
func DecodeVerdicts(b []byte) (list []Verdict, err error) {
	err = decode(b, 2, func(replica uint64, v [3]float64) {
		list = append(list, Verdict{Replica: replica, FailureRate: min(v[0], 1), LatencyRatio: max(v[1], 1)})
	})
	return list, err
}
