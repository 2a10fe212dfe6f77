// Package merger joins the records of several parts into the greatest ones.
package merger

import (
	"bytes"
	"container/heap"
	"slices"
)

// RecordSize is the length of a record, in bytes.
const RecordSize = 16

// Top returns the greatest n records of the parts, greatest first. Records are compared byte
// by byte and equal ones all count. What is left of a part after its whole records is dropped.
func Top(parts [][]byte, n int) []byte {
	best := make(smallest, 0, n)
	for _, p := range parts {
		for ; n > 0 && len(p) >= RecordSize; p = p[RecordSize:] {
			switch r := p[:RecordSize]; {
			case len(best) < n:
				heap.Push(&best, r)
			case bytes.Compare(r, best[0]) > 0:
				best[0] = r
				heap.Fix(&best, 0)
			}
		}
	}
	slices.SortFunc(best, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(best, nil)
}

// smallest is a heap of records with the smallest one first.
type smallest [][]byte

func (h smallest) Len() int           { return len(h) }
func (h smallest) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }
func (h smallest) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *smallest) Push(r any) { *h = append(*h, r.([]byte)) }

// Pop implements heap.Interface.
func (h *smallest) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
