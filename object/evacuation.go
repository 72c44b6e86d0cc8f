package object

// Evacuation takes a whole data centre out of service while it is in the set. The targets there
// get no new requests, and those in flight finish. The daemons there go on serving their
// callers from other data centres. It has no effect if no target is in the data centre.
type Evacuation struct {
	DataCentre string `json:"dataCentre" yaml:"dataCentre"`
}

// TakesRequests reports whether the target may get new requests: it is neither leaving nor in
// an evacuated data centre.
func (o *Target) TakesRequests() bool {
	return !o.Leaving && !o.Evacuated
}

// markEvacuated sets Evacuated of each target.
func (x *Index) markEvacuated() {
	evacuated := make(map[string]bool, len(x.Set.Evacuations))
	for _, e := range x.Set.Evacuations {
		evacuated[e.DataCentre] = true
	}
	for i := range x.Set.Targets {
		t := &x.Set.Targets[i]
		t.Evacuated = evacuated[t.DataCentre]
	}
}
