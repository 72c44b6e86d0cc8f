package object

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
)

// Index provides lookups in one generation of the configuration. It is built
// once per generation, and no lookup scans the set. An index and what it returns
// must not be changed, so all methods are safe for concurrent use.
type Index struct {
	// Generation is the generation of the configuration.
	Generation uint64
	// Set is the indexed set.
	Set *Set

	services                   map[string]*Service
	targets                    map[string]*Target
	versions                   map[string]*Version
	tiers                      map[string]*Tier
	accounts                   map[string]*ClientAccount
	moves                      map[string]*Move
	moveByService              map[string]*Move
	serviceByModel             map[string]*Service
	targetByAddress            map[string]*Target
	targetsByService           map[string][]*Target
	targetsByServiceDataCentre map[serviceDataCentre][]*Target
	dataCentresByService       map[string][]string
	regionByDataCentre         map[string]string
	accountByTokenDigest       map[[sha256.Size]byte]*ClientAccount
	permittedServices          map[string]map[string]bool
	tiersByRank                []*Tier
	routes                     routeTable
	routesByService            map[string]routeTable
	ingresses                  ingressTable
	ingressByName              map[string]*Ingress
	precedence                 precedence
}

// serviceDataCentre is a pair of a service and a data centre.
type serviceDataCentre struct {
	service, dataCentre string
}

// NewIndex returns an index of a set that passes Check. The set must not change
// afterwards.
func NewIndex(generation uint64, s *Set) *Index {
	x := &Index{
		Generation:    generation,
		Set:           s,
		services:      byName(s.Services),
		targets:       byName(s.Targets),
		versions:      byName(s.Versions),
		tiers:         byName(s.Tiers),
		accounts:      byName(s.ClientAccounts),
		moves:         byName(s.Moves),
		moveByService: make(map[string]*Move, len(s.Moves)),
	}
	for i := range s.Moves {
		x.moveByService[s.Moves[i].Service] = &s.Moves[i]
	}
	x.markEvacuated()
	x.setColdLimits()
	x.indexTargets()
	x.indexModels()
	x.indexAccounts()
	x.tiersByRank = pointers(s.Tiers)
	slices.SortStableFunc(x.tiersByRank, func(a, b *Tier) int { return cmp.Compare(a.Rank, b.Rank) })
	x.routes = newRouteTable(s.Services)
	x.ingresses = newIngressTable(s.Ingresses)
	x.ingressByName = byName(s.Ingresses)
	x.precedence = newPrecedence(x)
	x.routesByService = make(map[string]routeTable, len(s.Services))
	for i := range s.Services {
		x.routesByService[s.Services[i].Name] = newRouteTable(s.Services[i : i+1])
	}
	return x
}

// setColdLimits sets the cold time and rate of each target to those of its service.
func (x *Index) setColdLimits() {
	for i := range x.Set.Targets {
		t := &x.Set.Targets[i]
		if service := x.services[t.Service]; service != nil {
			t.ColdStart, t.ColdRate = service.ColdStart, service.ColdRate
		}
	}
}

func (x *Index) indexTargets() {
	x.targetByAddress = make(map[string]*Target, len(x.Set.Targets))
	x.targetsByService = map[string][]*Target{}
	x.targetsByServiceDataCentre = map[serviceDataCentre][]*Target{}
	x.dataCentresByService = map[string][]string{}
	x.regionByDataCentre = map[string]string{}
	targets := pointers(x.Set.Targets)
	slices.SortStableFunc(targets, func(a, b *Target) int { return cmp.Compare(a.Name, b.Name) })
	for _, t := range targets {
		key := serviceDataCentre{t.Service, t.DataCentre}
		if len(x.targetsByServiceDataCentre[key]) == 0 {
			x.dataCentresByService[t.Service] = append(x.dataCentresByService[t.Service], t.DataCentre)
		}
		x.targetsByServiceDataCentre[key] = append(x.targetsByServiceDataCentre[key], t)
		x.targetsByService[t.Service] = append(x.targetsByService[t.Service], t)
		x.targetByAddress[t.Address] = t
		x.regionByDataCentre[t.DataCentre] = t.Region
	}
	for _, names := range x.dataCentresByService {
		slices.Sort(names)
	}
}

// indexModels indexes the model services by their names and by the models of
// their versions. A model that versions of two services share is left out, since
// it does not identify a service.
func (x *Index) indexModels() {
	x.serviceByModel = map[string]*Service{}
	ambiguous := map[string]bool{}
	for i := range x.Set.Versions {
		v := &x.Set.Versions[i]
		service := x.services[v.Service]
		if v.Model == "" || service == nil {
			continue
		}
		if other := x.serviceByModel[v.Model]; other != nil && other != service {
			ambiguous[v.Model] = true
		}
		x.serviceByModel[v.Model] = service
	}
	maps.DeleteFunc(x.serviceByModel, func(model string, _ *Service) bool { return ambiguous[model] })
	for name, service := range x.services {
		if service.Kind == ModelService {
			x.serviceByModel[name] = service
		}
	}
}

func (x *Index) indexAccounts() {
	x.accountByTokenDigest = map[[sha256.Size]byte]*ClientAccount{}
	x.permittedServices = map[string]map[string]bool{}
	for i := range x.Set.ClientAccounts {
		account := &x.Set.ClientAccounts[i]
		for _, text := range account.TokenDigests {
			digest, err := hex.DecodeString(text)
			if err == nil && len(digest) == sha256.Size {
				x.accountByTokenDigest[[sha256.Size]byte(digest)] = account
			}
		}
		if len(account.Services) == 0 {
			continue
		}
		permitted := make(map[string]bool, len(account.Services))
		for _, name := range account.Services {
			permitted[name] = true
		}
		x.permittedServices[account.Name] = permitted
	}
}

func pointers[T any](objects []T) []*T {
	out := make([]*T, len(objects))
	for i := range objects {
		out[i] = &objects[i]
	}
	return out
}

// Service returns a service by name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Target returns a target by name, or nil.
func (x *Index) Target(name string) *Target { return x.targets[name] }

// Version returns a version by name, or nil.
func (x *Index) Version(name string) *Version { return x.versions[name] }

// Tier returns a tier by name, or nil.
func (x *Index) Tier(name string) *Tier { return x.tiers[name] }

// ClientAccount returns a client account by name, or nil.
func (x *Index) ClientAccount(name string) *ClientAccount { return x.accounts[name] }

// Ingress returns an ingress by name, or nil.
func (x *Index) Ingress(name string) *Ingress { return x.ingressByName[name] }

// Move returns a move by name, or nil.
func (x *Index) Move(name string) *Move { return x.moves[name] }

// MoveOf returns the move that is defined for a service, or nil.
func (x *Index) MoveOf(service string) *Move { return x.moveByService[service] }

// Tiers returns the tiers by rank, the highest tier first.
func (x *Index) Tiers() []*Tier { return x.tiersByRank }

// TierOf returns the tier of a client account, or nil when account is nil.
func (x *Index) TierOf(account *ClientAccount) *Tier {
	if account == nil {
		return nil
	}
	return x.tiers[account.Tier]
}

// TargetAt returns the target with an address (IP:port), or nil.
func (x *Index) TargetAt(address string) *Target { return x.targetByAddress[address] }

// TargetsOf returns all targets of a service in name order.
func (x *Index) TargetsOf(service string) []*Target { return x.targetsByService[service] }

// TargetsIn returns the targets of a service in a data centre in name order.
func (x *Index) TargetsIn(service, dataCentre string) []*Target {
	return x.targetsByServiceDataCentre[serviceDataCentre{service, dataCentre}]
}

// DataCentresOf returns the data centres with targets of a service, in name order.
func (x *Index) DataCentresOf(service string) []string { return x.dataCentresByService[service] }

// RegionOf returns the region of a data centre that holds targets, or "".
func (x *Index) RegionOf(dataCentre string) string { return x.regionByDataCentre[dataCentre] }

// ModelService returns the model service that a request's model names, by
// service name or by model name, or nil.
func (x *Index) ModelService(model string) *Service { return x.serviceByModel[model] }

// AccountByToken returns the client account of a bearer token, or nil. The lookup
// is by digest, so its duration reveals nothing about the listed tokens.
func (x *Index) AccountByToken(token string) *ClientAccount {
	return x.accountByTokenDigest[sha256.Sum256([]byte(token))]
}

// AccountByDigest returns the client account of the SHA-256 digest of a bearer
// token, or nil.
func (x *Index) AccountByDigest(digest [sha256.Size]byte) *ClientAccount {
	return x.accountByTokenDigest[digest]
}

// Permits reports whether a client account may call a service.
func (x *Index) Permits(account, service string) bool {
	permitted, limited := x.permittedServices[account]
	return !limited || permitted[service]
}

// MatchRoutes returns the routes for a method and a path: the route with this path or,
// if there is none, the route with the longest prefix of it. Only model services
// can share a route; there is then one match per service, in the order of service
// names.
func (x *Index) MatchRoutes(method, path string) []RouteMatch {
	return x.routes.match(method, path)
}

// MatchServiceRoute returns the route of one service for a method and a path, chosen
// as by MatchRoutes, or nil.
func (x *Index) MatchServiceRoute(service, method, path string) *Route {
	routes := x.routesByService[service]
	matches := routes.match(method, path)
	if len(matches) == 0 {
		return nil
	}
	return matches[0].Route
}
