// Package encoder encodes and decodes messages in the protobuf wire format, field by field.
package encoder

import (
	"errors"
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed is returned for a message that cannot be decoded.
var ErrMalformed = errors.New("malformed message")

// AppendVarint appends a varint field to b. It omits a zero value.
func AppendVarint(b []byte, num protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	b = protowire.AppendTag(b, num, protowire.VarintType)
	return protowire.AppendVarint(b, v)
}

// AppendBytes appends a length-delimited field to b. It omits an empty value.
func AppendBytes(b []byte, num protowire.Number, v []byte) []byte {
	if len(v) == 0 {
		return b
	}
	b = protowire.AppendTag(b, num, protowire.BytesType)
	return protowire.AppendBytes(b, v)
}

// AppendAddr appends an address in its binary form to b. It omits an invalid address.
func AppendAddr(b []byte, num protowire.Number, a netip.AddrPort) []byte {
	if !a.IsValid() {
		return b
	}
	raw, _ := a.MarshalBinary()
	return AppendBytes(b, num, raw)
}

// Fields calls f for each field of b, with v set for varint fields and raw for length-delimited
// fields. For other wire types both are zero. It returns ErrMalformed or the first error of f.
func Fields(b []byte, f func(num protowire.Number, v uint64, raw []byte) error) error {
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return ErrMalformed
		}
		b = b[n:]
		var v uint64
		var raw []byte
		switch typ {
		case protowire.VarintType:
			v, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			raw, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(num, typ, b)
		}
		if n < 0 {
			return ErrMalformed
		}
		b = b[n:]
		if err := f(num, v, raw); err != nil {
			return err
		}
	}
	return nil
}

// DecodeAddr decodes the field value that AppendAddr wrote into a. It returns ErrMalformed if raw
// is not a valid address.
func DecodeAddr(a *netip.AddrPort, raw []byte) error {
	if err := a.UnmarshalBinary(raw); err != nil {
		return ErrMalformed
	}
	return nil
}
