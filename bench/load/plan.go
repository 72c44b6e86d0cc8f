// Package load sends requests at planned times, whatever the answers do (open
// loop), and reports goodput and times by class. Times count from the planned
// start of a request, so that a stalled system cannot hide its delay.
package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Class is one kind of request of a workload.
type Class struct {
	Name    string
	Account string
	// Tier is the name of the account's tier.
	Tier string
	// Weight is the class's part of the arrivals.
	Weight float64
	// PromptMin and PromptMax bound the prompt in tokens, OutputMin and OutputMax
	// the caller's max_tokens.
	PromptMin, PromptMax int
	OutputMin, OutputMax int
	// SharedPrefix is the length in tokens of a prefix that requests of the same
	// conversation share; Conversations is their number.
	SharedPrefix  int
	Conversations int
	// FirstToken and Total are the times within which an answer counts as good.
	FirstToken time.Duration
	Total      time.Duration
}

// Plan is a workload.
type Plan struct {
	Seed     uint64
	Duration time.Duration
	// Rate is the number of arrivals per second.
	Rate    float64
	Classes []Class
	Service string
	// Skew is the part of the requests that goes to the first entry; the others
	// share the rest. 0 spreads evenly.
	Skew float64
}

// Arrival is one planned request.
type Arrival struct {
	At        time.Duration
	Class     int
	Entry     float64
	Prompt    string
	MaxTokens int
}

// Arrivals returns the requests of a plan in order of time; the same plan gives
// the same requests. Times between arrivals are exponential.
func (p *Plan) Arrivals() []Arrival {
	rng := rand.New(rand.NewPCG(p.Seed, 0x6d61726a))
	total := 0.0
	for _, c := range p.Classes {
		total += c.Weight
	}
	var out []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
		if at >= p.Duration {
			return out
		}
		class := pick(rng.Float64()*total, p.Classes)
		out = append(out, p.arrival(rng, at, class, len(out)))
	}
}

func pick(x float64, classes []Class) int {
	for i, c := range classes {
		if x < c.Weight {
			return i
		}
		x -= c.Weight
	}
	return len(classes) - 1
}

// charactersPerToken is the rule of the stand-in engines.
const charactersPerToken = 4

func (p *Plan) arrival(rng *rand.Rand, at time.Duration, class, number int) Arrival {
	c := &p.Classes[class]
	var prompt strings.Builder
	if c.Conversations > 0 {
		writeText(&prompt, fmt.Sprintf("%s-%d", c.Name, rng.IntN(c.Conversations)), c.SharedPrefix*charactersPerToken)
	}
	length := between(rng, c.PromptMin, c.PromptMax) * charactersPerToken
	writeText(&prompt, fmt.Sprintf("q%d-%d", p.Seed, number), prompt.Len()+length)
	return Arrival{
		At:        at,
		Class:     class,
		Entry:     rng.Float64(),
		Prompt:    prompt.String(),
		MaxTokens: between(rng, c.OutputMin, c.OutputMax),
	}
}

func between(rng *rand.Rand, low, high int) int {
	if high <= low {
		return low
	}
	return low + rng.IntN(high-low+1)
}

// writeText fills up to length with a word.
func writeText(b *strings.Builder, word string, length int) {
	for b.Len() < length {
		b.WriteString(word)
		b.WriteByte(' ')
	}
}

// entryOf maps the draw of an arrival to an entry.
func (p *Plan) entryOf(draw float64, entries int) int {
	if entries < 2 {
		return 0
	}
	if draw < p.Skew {
		return 0
	}
	if p.Skew > 0 {
		return 1 + int((draw-p.Skew)/(1-p.Skew)*float64(entries-1))
	}
	return min(int(draw*float64(entries)), entries-1)
}
