package object

// named is implemented by all objects.
type named interface {
	objectName() string
}

func (o Service) objectName() string       { return o.Name }
func (o Target) objectName() string        { return o.Name }
func (o Version) objectName() string       { return o.Name }
func (o Tier) objectName() string          { return o.Name }
func (o ClientAccount) objectName() string { return o.Name }
func (o Move) objectName() string          { return o.Name }
func (o Ingress) objectName() string       { return o.Name }
func (o Evacuation) objectName() string    { return o.DataCentre }

// names returns the names of the objects of a kind, in list order.
func (s *Set) names(kind Kind) []string {
	switch kind {
	case KindService:
		return namesOf(s.Services)
	case KindTarget:
		return namesOf(s.Targets)
	case KindVersion:
		return namesOf(s.Versions)
	case KindTier:
		return namesOf(s.Tiers)
	case KindClientAccount:
		return namesOf(s.ClientAccounts)
	case KindMove:
		return namesOf(s.Moves)
	case KindIngress:
		return namesOf(s.Ingresses)
	case KindEvacuation:
		return namesOf(s.Evacuations)
	}
	return nil
}

// allNames returns the names of all objects by kind, in list order.
func (s *Set) allNames() map[Kind][]string {
	all := make(map[Kind][]string, len(Kinds()))
	for _, kind := range Kinds() {
		all[kind] = s.names(kind)
	}
	return all
}

func namesOf[T named](objects []T) []string {
	names := make([]string, len(objects))
	for i, o := range objects {
		names[i] = o.objectName()
	}
	return names
}

// Object returns the object of a kind by name, or nil when there is none. The
// result is one of *Service, *Target, *Version, *Tier, *ClientAccount, *Move,
// *Ingress and *Evacuation. It scans the set; code on the request path uses an Index instead.
func (s *Set) Object(kind Kind, name string) any {
	switch kind {
	case KindService:
		return findByName(s.Services, name)
	case KindTarget:
		return findByName(s.Targets, name)
	case KindVersion:
		return findByName(s.Versions, name)
	case KindTier:
		return findByName(s.Tiers, name)
	case KindClientAccount:
		return findByName(s.ClientAccounts, name)
	case KindMove:
		return findByName(s.Moves, name)
	case KindIngress:
		return findByName(s.Ingresses, name)
	case KindEvacuation:
		return findByName(s.Evacuations, name)
	}
	return nil
}

// findByName returns a pointer to the first object with the name, as any, or an
// untyped nil if there is none.
func findByName[T named](objects []T, name string) any {
	for i := range objects {
		if objects[i].objectName() == name {
			return &objects[i]
		}
	}
	return nil
}
