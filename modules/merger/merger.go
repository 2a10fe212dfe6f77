// Package merger joins the records of several parts into the greatest ones.
package merger

import (
	"bytes"
	"slices"
)

// RecordSize is the length of a record, in bytes.
const RecordSize = 16

// Top returns the greatest n records of the parts, greatest first. Records are compared byte
// by byte and equal ones all count. What is left of a part after its whole records is dropped.
func Top(parts [][]byte, n int) []byte {
	var all [][]byte
	for _, p := range parts {
		for ; len(p) >= RecordSize; p = p[RecordSize:] {
			all = append(all, p[:RecordSize])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(all[:min(n, len(all))], nil)
}
