package forwarder

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/ebonylock/ebonylock/modules/quarantiner"
)

// identity tells requests apart for the quarantine.
type identity struct {
	// request is the same for requests with the same method, host, target, body and header fields,
	// except for the fields that usually differ between the attempts of a caller.
	request quarantiner.Fingerprint
	// group is the same for requests with the same method, host, target and body. It differs from all
	// values of request.
	group quarantiner.Fingerprint
}

// attemptFields are the header fields, in lower case, that usually differ between the attempts of a caller.
var attemptFields = map[string]bool{
	"b3": true, "baggage": true, "date": true, "traceparent": true, "tracestate": true, "x-b3-parentspanid": true,
	"x-b3-spanid": true, "x-b3-traceid": true, "x-correlation-id": true, "x-request-id": true,
}

// identify returns the identity of a request. The order of header fields and the case of their names make no
// difference.
func identify(r *Request) identity {
	base := quarantiner.FingerprintOf(r.Method+" "+r.Host+r.Target, r.Body)
	id := identity{request: base, group: combine(base, math.MaxUint64)}
	var sum uint64
	var h xxhash.Digest
	var buf [64]byte
	for _, f := range r.Fields {
		name := appendLower(buf[:0], f.Name)
		if attemptFields[string(name)] {
			continue
		}
		h.Reset()
		_, _ = h.Write(name)
		_, _ = h.WriteString(":")
		_, _ = h.WriteString(f.Value)
		sum += h.Sum64()
	}
	if sum != 0 {
		id.request = combine(base, sum)
	}
	return id
}

func combine(base quarantiner.Fingerprint, v uint64) quarantiner.Fingerprint {
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:], uint64(base))
	binary.LittleEndian.PutUint64(both[8:], v)
	return quarantiner.Fingerprint(xxhash.Sum64(both[:]))
}

// appendLower appends s in lower case to b. s is ASCII, as the names of header fields are.
func appendLower(b []byte, s string) []byte {
	for i := range len(s) {
		c := s[i]
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		b = append(b, c)
	}
	return b
}
