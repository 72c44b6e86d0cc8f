// Package eventlog writes numbered log events through logrus. Each event has a
// stable number, such as MF1001, that operators can search and alert on;
// docs/events.md lists all of them.
package eventlog

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"

	"github.com/marjoramflow/marjoramflow/fault"
)

// Event is the number of a log event.
type Event int

// Fields are the values that belong to one event.
type Fields = logrus.Fields

// Code returns the event's stable code, such as "MF1001".
func (e Event) Code() string {
	return fmt.Sprintf("MF%04d", int(e))
}

// Logger writes events. It is safe for concurrent use.
type Logger struct {
	entry *logrus.Entry
}

// New returns a logger that writes to w. Level is a logrus level name; format
// is "json" or "text".
func New(w io.Writer, level, format, daemon string) (*Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fault.Wrap(err, "log.level", level)
	}
	base := logrus.New()
	base.SetOutput(w)
	base.SetLevel(parsed)
	if format == "text" {
		base.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	} else {
		base.SetFormatter(&logrus.JSONFormatter{})
	}
	return &Logger{entry: base.WithField("daemon", daemon)}, nil
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	base := logrus.New()
	base.SetOutput(io.Discard)
	return &Logger{entry: logrus.NewEntry(base)}
}

// Emit writes an event at its catalogued level.
func (l *Logger) Emit(e Event, fields Fields) {
	info := catalogue[e]
	l.entry.WithFields(fields).WithField("event", e.Code()).Log(info.level, info.text)
}

// EmitError writes an event together with an error, its step and its peer.
func (l *Logger) EmitError(e Event, err error, fields Fields) {
	info := catalogue[e]
	l.entry.WithFields(fields).
		WithField("event", e.Code()).
		WithField("step", fault.Step(err)).
		WithField("peer", fault.Peer(err)).
		WithError(err).
		Log(info.level, info.text)
}
