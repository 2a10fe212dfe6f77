// Package muter drops the log lines of the event loops, which repeat what their callers learn
// from errors and metrics.
package muter

// Logger implements gnet's logger without output.
type Logger struct{}

// Debugf drops a line.
func (Logger) Debugf(string, ...any) {}

// Infof drops a line.
func (Logger) Infof(string, ...any) {}

// Warnf drops a line.
func (Logger) Warnf(string, ...any) {}

// Errorf drops a line.
func (Logger) Errorf(string, ...any) {}

// Fatalf drops a line.
func (Logger) Fatalf(string, ...any) {}
