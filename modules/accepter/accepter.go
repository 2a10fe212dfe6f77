// Package accepter makes servers survive errors of accept. Most servers end at the first such error, for
// example when the process has no file descriptor left for a moment.
package accepter

import (
	"errors"
	"net"
	"time"
)

const (
	// pause is the time after a failed accept until the next one.
	pause = 50 * time.Millisecond
	// reportInterval is the time after a reported error during which no other one is reported.
	reportInterval = time.Second
)

// Listener is a net.Listener whose Accept fails only once it is closed.
type Listener struct {
	net.Listener
	// OnError is called with the errors that Report lets through; nil to ignore them. It must be set
	// before Accept is called.
	OnError func(err error)
	// reported is the time of the last call of OnError.
	reported time.Time
}

// Accept implements net.Listener. It must not be called concurrently.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		l.Report(err)
		time.Sleep(pause)
	}
}

// Report passes err to OnError, unless another error was passed to it in the last second. It must not be
// called concurrently with Accept.
func (l *Listener) Report(err error) {
	if l.OnError == nil || (!l.reported.IsZero() && time.Since(l.reported) < reportInterval) {
		return
	}
	l.reported = time.Now()
	l.OnError(err)
}
