// Package muter provides a logger that discards the log messages of the gnet event loops. They
// only repeat what callers learn from errors and metrics.
package muter

// Logger is a gnet logger that discards all messages.
type Logger struct{}

// Debugf discards a debug message.
func (Logger) Debugf(string, ...any) {}

// Infof discards an informational message.
func (Logger) Infof(string, ...any) {}

// Warnf discards a warning message.
func (Logger) Warnf(string, ...any) {}

// Errorf discards an error message.
func (Logger) Errorf(string, ...any) {}

// Fatalf discards a fatal error message and does not exit the process.
func (Logger) Fatalf(string, ...any) {}
