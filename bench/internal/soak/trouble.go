package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

// troubleKind is the kind of the fault in which a target spoils answers. It excuses the loss of
// these answers only, so faultDuring ignores it.
const troubleKind = "trouble"

// spoiltShare is the share of its answers that a target in trouble spoils.
const spoiltShare = 0.4

// spoiltAnswers are the answers of a target in trouble. None of them may reach a caller as
// complete. Each gets the fields of a sound answer and its body.
var spoiltAnswers = map[string]func(fields, body string) string{
	"status 000": func(fields, body string) string { return "HTTP/1.1 000 \r\n\r\n" + sized(fields, "other "+body) },
	"blank in a name": func(fields, body string) string {
		return "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n" + fields + "\r\nx" + body
	},
	"head ends early":        func(fields, _ string) string { return "HTTP/1.1 200 OK\r\n" + fields + "Content-Le" },
	"body ends early":        func(fields, body string) string { return strings.TrimSuffix(sized(fields, body), body[len(body)/2:]) },
	"reset without a length": func(fields, body string) string { return "HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body[:len(body)/2] },
	"other text":             func(_, body string) string { return body },
}

// sized returns an answer with a length.
func sized(fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
}

// spoil sends an answer of the given form and resets the connection. It reports false if the
// connection could not be taken over.
func spoil(w http.ResponseWriter, attempt, body, form string) bool {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer reset(conn)
	fields := fmt.Sprintf("X-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nContent-Type: text/event-stream\r\n", attempt, signature(attempt))
	_, _ = io.WriteString(conn, spoiltAnswers[form](fields, body))
	return true
}

// wrongLastNumber is the form of a stream whose last event has a number that is too low.
const wrongLastNumber = "number of the last event"

// trouble makes targets spoil answers, each for a while. Its choices are made apart from those
// of the injector, whose series of faults stay as they are.
type trouble struct {
	injector *injector
	random   *rand.Rand
}

func newTrouble(i *injector, seed uint64) *trouble {
	return &trouble{injector: i, random: rand.New(rand.NewPCG(seed, 11))}
}

// run troubles one target after the other until the context ends.
func (t *trouble) run(ctx context.Context) {
	forms := append(slices.Sorted(maps.Keys(spoiltAnswers)), wrongLastNumber)
	for ctx.Err() == nil {
		chosen := t.injector.env.targets[t.random.IntN(len(t.injector.env.targets))]
		length := time.Duration(500+t.random.IntN(2500)) * time.Millisecond
		t.injector.inject(injection{kind: troubleKind, subject: chosen.currentID(), run: func(context.Context) error {
			chosen.spoiling.Store(&forms)
			time.Sleep(length)
			chosen.spoiling.Store(nil)
			return nil
		}})
		time.Sleep(length / 2)
	}
}

// formOf returns the form in which a target in trouble spoils the answer to a request, or "" if
// it does not.
func (t *target) formOf(attempt string) string {
	forms := t.spoiling.Load()
	if forms == nil || hash("spoilt "+attempt)%100 >= 100*spoiltShare {
		return ""
	}
	return (*forms)[hash("form "+attempt)%uint64(len(*forms))]
}
