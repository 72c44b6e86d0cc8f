package owner

import (
	"slices"
	"strconv"

	"github.com/marjoramflow/marjoramflow/rendezvous"
)

// MaxGroupTargets is the largest number of targets in one group.
const MaxGroupTargets = 8

// Assignment is one target group of a service in one data centre.
type Assignment struct {
	Service string
	Number  int
	// Targets holds at most MaxGroupTargets names, sorted.
	Targets []string
	// Daemon is the owner of the group; "" when no daemon is live.
	Daemon string
}

// Assign divides the targets of each service of one data centre into groups and
// distributes the groups over the live daemons. The result does not depend on the
// order of the lists, so daemons with the same targets and daemons compute the same
// assignments. They are sorted by service and number.
//
// The cost grows with targets times groups and with groups times daemons, so
// callers should cache the result while the lists stay the same.
func Assign(targets map[string][]string, daemons []string) []Assignment {
	var all []Assignment
	for _, service := range sortedKeys(targets) {
		all = append(all, divideTargets(service, targets[service])...)
	}
	assignDaemons(all, daemons)
	return all
}

// divideTargets puts each target of one service, in name order, into the group with
// the best rendezvous rank that has room.
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

// assignDaemons gives each group the daemon with the best rendezvous rank that owns
// no group yet. When every daemon owns one, the next round begins with all daemons
// available again.
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
