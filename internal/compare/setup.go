package compare

import (
	"fmt"
	"time"

	"github.com/marjoramflow/marjoramflow/balancer"
	"github.com/marjoramflow/marjoramflow/internal/naive"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/prefix"
)

// Scheduler holds the methods of owner.Group and naive.Group that a run needs.
type Scheduler interface {
	SetTargets(now time.Time, infos []owner.TargetInfo) []owner.Decision
	Reserve(now time.Time, request owner.Request) []owner.Decision
	Cancel(now time.Time, id string) []owner.Decision
	Release(now time.Time, report owner.Report) []owner.Decision
	Tick(now time.Time) []owner.Decision
	CacheEvents(now time.Time, target string, events []prefix.Event)
	ReportLoad(target string, running int)
	Load() owner.Load
}

// Variant is a scheduler to compare.
type Variant struct {
	Name string
	// NewScheduler returns a scheduler for one group of a service.
	NewScheduler func(service string, number int) Scheduler
	// ChooseByLoad chooses groups by prefix and load instead of round robin.
	ChooseByLoad bool
}

// Production returns the production scheduler with a picker.
func Production(builder balancer.Builder) Variant {
	return Variant{
		Name:         "group/" + builder.Name(),
		ChooseByLoad: true,
		NewScheduler: func(service string, number int) Scheduler {
			return owner.NewGroup(service, number, owner.Options{Picker: builder.Build(uint64(number) + 1)})
		},
	}
}

// Naive returns the naive scheduler, with groups chosen round robin.
func Naive() Variant {
	return Variant{Name: "naive", NewScheduler: func(string, int) Scheduler { return naive.NewGroup() }}
}

// Variants returns the production scheduler with its own picker, then with each of
// the other pickers, then the naive scheduler.
func Variants() []Variant {
	builders := balancer.Builders()
	variants := []Variant{Production(builders[len(builders)-1])}
	for _, b := range builders[:len(builders)-1] {
		variants = append(variants, Production(b))
	}
	return append(variants, Naive())
}

// Setup describes a run.
type Setup struct {
	Groups          int
	EnginesPerGroup int
	Slots           int
	KVTokens        int
	// Speeds are the speeds of a group's engines, assigned round robin; each stands
	// for a hardware generation.
	Speeds []float64
	// Load is the offered load as a multiple of the capacity.
	Load float64
	// TierShares are the shares of the requests by tier.
	TierShares []float64
	// Deadlines are the times from arrival to deadline, by tier.
	Deadlines []time.Duration
	// FirstTokenLimit is the time allowed from arrival to the first token; 0 means no
	// limit. An answer whose first token comes later is not in time, and its prefill
	// is wasted.
	FirstTokenLimit time.Duration
	// Duration is the time in which requests arrive; Warmup is the part at its start
	// that the result leaves out.
	Duration, Warmup time.Duration
	// LoadReportDelay is the age of the engines' load reports when they arrive.
	LoadReportDelay time.Duration
	// CacheEventDelay is the age of cache events when they arrive; CacheEventLoss is
	// the share that is lost.
	CacheEventDelay time.Duration
	CacheEventLoss  float64
	Seed            uint64
}

// StandardSetup returns the setup of the published tables: engine speeds 1:3,
// lengths that differ a hundredfold, load reports 2 s old.
func StandardSetup(groups int, load float64) Setup {
	return Setup{
		Groups:          groups,
		EnginesPerGroup: 8,
		Slots:           16,
		KVTokens:        40_000,
		Speeds:          []float64{1, 3},
		Load:            load,
		TierShares:      []float64{0.2, 0.3, 0.5},
		Deadlines:       []time.Duration{30 * time.Second, 45 * time.Second, 60 * time.Second},
		Duration:        180 * time.Second,
		Warmup:          30 * time.Second,
		LoadReportDelay: 2 * time.Second,
		CacheEventDelay: 200 * time.Millisecond,
		CacheEventLoss:  0.02,
		Seed:            1,
	}
}

// newEngines returns idle engines for all groups.
func (s Setup) newEngines() []*engine {
	var all []*engine
	for group := range s.Groups {
		for i := range s.EnginesPerGroup {
			speed := s.Speeds[i%len(s.Speeds)]
			all = append(all, &engine{
				info: owner.TargetInfo{
					Name:     fmt.Sprintf("g%d-t%d", group, i),
					Hardware: fmt.Sprintf("speed-%g", speed),
					Slots:    s.Slots,
					KVTokens: s.KVTokens,
					Versions: []string{"v1"},
				},
				group:        group,
				lastDispatch: make([]time.Time, len(s.TierShares)),
				speed:        speed,
				cache:        newBlockCache(),
			})
		}
	}
	return all
}
