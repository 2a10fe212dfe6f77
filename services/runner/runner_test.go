package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/modules/loader"
	"github.com/ebonylock/ebonylock/routers/answerer"
)

// TestShutdownOutlastsEveryRequest guards against requests that are cut at a stop because their deadline, which the
// settings allow, is beyond the end of the wait for them.
func TestShutdownOutlastsEveryRequest(t *testing.T) {
	is := is.New(t)
	for _, deadline := range []time.Duration{10 * time.Millisecond, 10 * time.Second, time.Minute} {
		is.True(shutdownTimeout(loader.Callers{MaxDeadline: deadline}) > answerer.ReadTimeout+deadline)
	}
}
