// Package merger selects the greatest records of several parts.
package merger

import (
	"bytes"
	"container/heap"
	"slices"
)

// RecordSize is the length of a record, in bytes.
const RecordSize = 16

// Top returns the n greatest records of all parts in descending order. Records are compared
// byte by byte, and duplicates are kept. There are fewer than n if the parts hold fewer. An incomplete
// record at the end of a part is ignored.
func Top(parts [][]byte, n int) []byte {
	records := 0
	for _, p := range parts {
		records += len(p) / RecordSize
	}
	n = min(n, records)
	best := make(minHeap, 0, max(n, 0))
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

// minHeap is a heap of records with the smallest record at the root.
type minHeap [][]byte

func (h minHeap) Len() int           { return len(h) }
func (h minHeap) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }
func (h minHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *minHeap) Push(r any) { *h = append(*h, r.([]byte)) }

// Pop implements heap.Interface.
func (h *minHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
