// Package load sends requests at planned times, independent of the answers (open
// loop), and reports goodput and times by class. Times count from the planned
// start of a request, so that delays of a stalled system are not left out
// (coordinated omission).
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
	// Weight is the class's share of the arrivals, relative to the sum of all weights.
	Weight float64
	// PromptMin and PromptMax bound the prompt in tokens, OutputMin and OutputMax
	// the caller's max_tokens.
	PromptMin, PromptMax int
	OutputMin, OutputMax int
	// SharedPrefixTokens is the length of the prefix that requests of the same
	// conversation share; Conversations is the number of conversations.
	SharedPrefixTokens int
	Conversations      int
	// FirstTokenLimit and TotalLimit are the times within which an answer is good.
	FirstTokenLimit time.Duration
	TotalLimit      time.Duration
}

// Plan describes the load of one run.
type Plan struct {
	Seed     uint64
	Duration time.Duration
	// Rate is the number of arrivals per second.
	Rate    float64
	Classes []Class
	Service string
	// Skew is the share of the requests that goes to the first entry; the rest is
	// spread evenly over the others. 0 spreads all requests evenly.
	Skew float64
}

// Arrival is one planned request.
type Arrival struct {
	// At is the time since the start of the run.
	At time.Duration
	// Class is an index into Plan.Classes.
	Class int
	// EntryDraw, uniform in [0, 1), chooses the entry.
	EntryDraw float64
	Prompt    string
	MaxTokens int
}

// Arrivals returns the requests of a plan in order of time; the same plan gives
// the same requests. The arrivals are a Poisson process.
func (p *Plan) Arrivals() []Arrival {
	rng := rand.New(rand.NewPCG(p.Seed, 0x6d61726a))
	totalWeight := 0.0
	for _, c := range p.Classes {
		totalWeight += c.Weight
	}
	var arrivals []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
		if at >= p.Duration {
			return arrivals
		}
		class := pickClass(rng.Float64()*totalWeight, p.Classes)
		arrivals = append(arrivals, p.arrival(rng, at, class, len(arrivals)))
	}
}

// pickClass returns the class for a draw between 0 and the sum of the weights.
func pickClass(draw float64, classes []Class) int {
	for i, c := range classes {
		if draw < c.Weight {
			return i
		}
		draw -= c.Weight
	}
	return len(classes) - 1
}

// charactersPerToken is the length of text that the stand-in engines count as a token.
const charactersPerToken = 4

func (p *Plan) arrival(rng *rand.Rand, at time.Duration, class, number int) Arrival {
	c := &p.Classes[class]
	var prompt strings.Builder
	if c.Conversations > 0 {
		padWithWord(&prompt, fmt.Sprintf("%s-%d", c.Name, rng.IntN(c.Conversations)), c.SharedPrefixTokens*charactersPerToken)
	}
	promptLength := randomBetween(rng, c.PromptMin, c.PromptMax) * charactersPerToken
	padWithWord(&prompt, fmt.Sprintf("q%d-%d", p.Seed, number), prompt.Len()+promptLength)
	return Arrival{
		At:        at,
		Class:     class,
		EntryDraw: rng.Float64(),
		Prompt:    prompt.String(),
		MaxTokens: randomBetween(rng, c.OutputMin, c.OutputMax),
	}
}

func randomBetween(rng *rand.Rand, low, high int) int {
	if high <= low {
		return low
	}
	return low + rng.IntN(high-low+1)
}

// padWithWord appends a word and a space until b holds at least length bytes.
func padWithWord(b *strings.Builder, word string, length int) {
	for b.Len() < length {
		b.WriteString(word)
		b.WriteByte(' ')
	}
}

// chooseEntry returns the index of the entry for the draw of an arrival.
func (p *Plan) chooseEntry(draw float64, entries int) int {
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
