// Package pauser waits for a time that a context can cut short.
package pauser

import (
	"context"
	"time"
)

// Pause returns after d, or as soon as ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
