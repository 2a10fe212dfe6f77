package loader

import (
	"io"

	"github.com/sirupsen/logrus"
)

// Log configures the log of the daemon.
type Log struct {
	// Level is the minimum level of the messages that are logged.
	Level string
	// Format is the output format, text or json.
	Format string
}

func (s *Log) section() section {
	return section{
		"level":  choice(&s.Level, "debug", "info", "warning", "error"),
		"format": choice(&s.Format, "text", "json"),
	}
}

// timeFormat is the format of timestamps in JSON log lines.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Logger returns a logger with the settings of s that writes to out.
func (s Log) Logger(out io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(out)
	if level, err := logrus.ParseLevel(s.Level); err == nil {
		log.SetLevel(level)
	}
	if s.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	}
	return log
}
