package compare

import (
	"fmt"
	"time"

	"github.com/marjoramflow/marjoramflow/balancer"
	"github.com/marjoramflow/marjoramflow/internal/naive"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/prefix"
)

// Scheduler is what owner.Group and naive.Group have in common.
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

// Variant is one way to schedule.
type Variant struct {
	Name string
	// New makes the scheduler of one group.
	New func(service string, number int) Scheduler
	// ByLoad chooses groups by prefix and load instead of in turn.
	ByLoad bool
}

// Production returns the scheduler in use with a picker.
func Production(builder balancer.Builder) Variant {
	return Variant{
		Name:   "group/" + builder.Name(),
		ByLoad: true,
		New: func(service string, number int) Scheduler {
			return owner.NewGroup(service, number, owner.Options{Picker: builder.Build(uint64(number) + 1)})
		},
	}
}

// Naive returns the naive scheduler.
func Naive() Variant {
	return Variant{Name: "naive", New: func(string, int) Scheduler { return naive.NewGroup() }}
}

// Variants returns the scheduler in use, the other pickers and the naive version.
func Variants() []Variant {
	builders := balancer.Builders()
	ways := []Variant{Production(builders[len(builders)-1])}
	for _, b := range builders[:len(builders)-1] {
		ways = append(ways, Production(b))
	}
	return append(ways, Naive())
}

// Setup describes a run.
type Setup struct {
	Groups   int
	PerGroup int
	Slots    int
	KVTokens int
	// Speeds are the engine speeds, used in turn; each is a hardware generation.
	Speeds []float64
	// Load is the offered load as a multiple of the capacity.
	Load float64
	// TierShares are the shares of the requests by tier.
	TierShares []float64
	// Deadlines are the times allowed by tier.
	Deadlines []time.Duration
	// FirstToken is the time allowed until the first token; 0 is no bound. An
	// answer whose first token comes later is not in time, and its prefill is wasted.
	FirstToken time.Duration
	// Warmup is the part of Length that the result leaves out.
	Length, Warmup time.Duration
	// Staleness is the age of the load reports of engines.
	Staleness time.Duration
	// CacheDelay is the age of cache events; EventLoss is the share that is lost.
	CacheDelay time.Duration
	EventLoss  float64
	Seed       uint64
}

// StandardSetup returns the setup of the published tables: engine speeds 1:3, lengths
// a hundredfold apart, reports 2 s old.
func StandardSetup(groups int, load float64) Setup {
	return Setup{
		Groups:     groups,
		PerGroup:   8,
		Slots:      16,
		KVTokens:   40_000,
		Speeds:     []float64{1, 3},
		Load:       load,
		TierShares: []float64{0.2, 0.3, 0.5},
		Deadlines:  []time.Duration{30 * time.Second, 45 * time.Second, 60 * time.Second},
		Length:     180 * time.Second,
		Warmup:     30 * time.Second,
		Staleness:  2 * time.Second,
		CacheDelay: 200 * time.Millisecond,
		EventLoss:  0.02,
		Seed:       1,
	}
}

func (s Setup) engines() []*engine {
	var all []*engine
	for group := range s.Groups {
		for i := range s.PerGroup {
			speed := s.Speeds[i%len(s.Speeds)]
			all = append(all, &engine{
				info: owner.TargetInfo{
					Name:     fmt.Sprintf("g%d-t%d", group, i),
					Hardware: fmt.Sprintf("speed-%g", speed),
					Slots:    s.Slots,
					KVTokens: s.KVTokens,
					Versions: []string{"v1"},
				},
				group: group,
				given: make([]time.Time, len(s.TierShares)),
				speed: speed,
				cache: newBlockCache(),
			})
		}
	}
	return all
}
