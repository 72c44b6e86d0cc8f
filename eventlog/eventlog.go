// Package eventlog writes numbered log events through logrus. Each event has a
// stable code, such as MF1001, that operators can search for and alert on;
// docs/events.md lists all events.
package eventlog

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"

	"github.com/marjoramflow/marjoramflow/fault"
)

// Event is the number of a log event.
type Event int

// Fields are the named values that are logged with one event.
type Fields = logrus.Fields

// Code returns the event's stable code, such as "MF1001".
func (e Event) Code() string {
	return fmt.Sprintf("MF%04d", int(e))
}

// Logger writes events. It is safe for concurrent use.
type Logger struct {
	logrusEntry *logrus.Entry
}

// New returns a logger that writes to w and adds the daemon's name to each event.
// Level is the name of a logrus level; an unknown one is an error. Format "text"
// selects text, any other value JSON.
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
	return &Logger{logrusEntry: base.WithField("daemon", daemon)}, nil
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	base := logrus.New()
	base.SetOutput(io.Discard)
	return &Logger{logrusEntry: logrus.NewEntry(base)}
}

// Emit logs an event with the level and text of the catalogue.
func (l *Logger) Emit(e Event, fields Fields) {
	info := catalogue[e]
	l.logrusEntry.WithFields(fields).WithField("event", e.Code()).Log(info.level, info.text)
}

// EmitError logs an event like Emit, with an error and the error's step and peer.
func (l *Logger) EmitError(e Event, err error, fields Fields) {
	info := catalogue[e]
	l.logrusEntry.WithFields(fields).
		WithField("event", e.Code()).
		WithField("step", fault.Step(err)).
		WithField("peer", fault.Peer(err)).
		WithError(err).
		Log(info.level, info.text)
}
