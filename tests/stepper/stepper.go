// Package stepper simulates a step of the wall clock in tests: it shifts the wall clock reading of a
// time.Time and leaves the monotonic reading unchanged.
package stepper

import (
	"time"
	"unsafe"
)

// secondsShift is the bit offset of the seconds in the wall field of a time.Time that has a monotonic
// reading; wall is its first word.
const secondsShift = 30

// Step returns t with its wall clock reading shifted by d and its monotonic reading unchanged. A
// fraction of a second in d is dropped. t must come from time.Now, since the shift relies on the
// layout of a time.Time with a monotonic reading.
func Step(t time.Time, d time.Duration) time.Time {
	*(*uint64)(unsafe.Pointer(&t)) += uint64(int64(d/time.Second)) << secondsShift
	return t
}
