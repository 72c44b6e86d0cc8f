package owner

import (
	"slices"
	"strconv"

	"github.com/marjoramflow/marjoramflow/rendezvous"
)

// MaxGroupTargets bounds the targets of one group.
const MaxGroupTargets = 8

// Assignment is one target group of a service in one data centre.
type Assignment struct {
	Service string
	Number  int
	// Targets are in name order, at most MaxGroupTargets.
	Targets []string
	// Daemon owns the group; "" when no daemon is alive.
	Daemon string
}

// Assign divides the targets of each service of one data centre into groups and
// the groups over the live daemons. The result depends only on the sets given,
// not on their order, so all daemons with the same lists agree. Groups are
// returned by service and number.
//
// The cost grows with targets times groups and with groups times daemons, so
// callers keep the result for as long as the lists stay the same.
func Assign(targets map[string][]string, daemons []string) []Assignment {
	var all []Assignment
	for _, service := range sortedKeys(targets) {
		all = append(all, divideTargets(service, targets[service])...)
	}
	assignDaemons(all, daemons)
	return all
}

// divideTargets puts the targets of one service, in name order, into the first group
// by rendezvous rank that has room.
func divideTargets(service string, targets []string) []Assignment {
	names := slices.Clone(targets)
	slices.Sort(names)
	names = slices.Compact(names)
	count := (len(names) + MaxGroupTargets - 1) / MaxGroupTargets
	groups := make([]Assignment, count)
	numbers := make([]string, count)
	for i := range groups {
		groups[i] = Assignment{Service: service, Number: i}
		numbers[i] = strconv.Itoa(i)
	}
	for _, name := range names {
		number := rendezvous.Owner(service+"/"+name, numbers)
		i, _ := strconv.Atoi(number)
		groups[i].Targets = append(groups[i].Targets, name)
		if len(groups[i].Targets) == MaxGroupTargets {
			numbers = slices.DeleteFunc(numbers, func(n string) bool { return n == number })
		}
	}
	return groups
}

// assignDaemons gives each group the first daemon by rendezvous rank that owns
// no group yet; when every daemon owns one, a second round begins.
func assignDaemons(groups []Assignment, daemons []string) {
	members := slices.Clone(daemons)
	slices.Sort(members)
	members = slices.Compact(members)
	var available []string
	for i := range groups {
		if len(available) == 0 {
			available = slices.Clone(members)
		}
		key := groups[i].Service + "/" + strconv.Itoa(groups[i].Number)
		groups[i].Daemon = rendezvous.Owner(key, available)
		available = slices.DeleteFunc(available, func(d string) bool { return d == groups[i].Daemon })
	}
}

func sortedKeys(m map[string][]string) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
