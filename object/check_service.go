package object

import (
	"fmt"
	"math"
	"path"
	"slices"
	"strings"
)

// methods are the HTTP methods that a route may name.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

func (c *checker) checkService(i int, o *Service) {
	if o.Kind != ModelService && o.Kind != PlainService {
		c.report(KindService, i, "kind", "kind %q must be %q or %q", o.Kind, ModelService, PlainService)
	}
	c.checkVersionOf(KindService, i, "version", o.Version, o.Name)
	if o.Kind == PlainService && len(o.Routes) == 0 && !o.Discovered {
		c.report(KindService, i, "routes", "a plain service needs at least one route")
	}
	if o.ColdStart < 0 {
		c.report(KindService, i, "coldStart", "coldStart %v is below zero", o.ColdStart)
	}
	if !(o.ColdRate >= 0) || math.IsInf(o.ColdRate, 0) {
		c.report(KindService, i, "coldRate", "coldRate %v must be a number that is not below zero", o.ColdRate)
	}
	names := map[string]bool{}
	for j := range o.Routes {
		c.checkRoute(i, j, &o.Routes[j], names)
	}
}

// checkVersionOf checks that a field refers to an existing version of the service.
// It does not check that a target serves the version; checkVersion does.
func (c *checker) checkVersionOf(kind Kind, index int, field, version, service string) {
	v := c.versions[version]
	switch {
	case version == "":
		c.report(kind, index, field, "version is missing")
	case v == nil:
		c.report(kind, index, field, "version %q does not exist", version)
	case v.Service != service:
		c.report(kind, index, field, "version %q belongs to service %q, not %q", version, v.Service, service)
	}
}

func (c *checker) checkRoute(serviceIndex, routeIndex int, r *Route, names map[string]bool) {
	field := func(name string) string { return fmt.Sprintf("routes[%d].%s", routeIndex, name) }
	if message := nameProblem(r.Name); message != "" {
		c.report(KindService, serviceIndex, field("name"), "%s", message)
	} else if names[r.Name] {
		c.report(KindService, serviceIndex, field("name"), "another route of the service has the name %q", r.Name)
	}
	names[r.Name] = true
	if !slices.Contains(methods, r.Method) {
		c.report(KindService, serviceIndex, field("method"), "method %q must be one of %s", r.Method, strings.Join(methods, ", "))
	}
	if message := pathProblem(r.Path); message != "" {
		c.report(KindService, serviceIndex, field("path"), "%s", message)
	}
	if r.Timeout < 0 {
		c.report(KindService, serviceIndex, field("timeout"), "timeout %v is below zero", r.Timeout)
	}
}

// pathProblem returns a message that says what is wrong with the path of a route
// or the prefix of an ingress, or "".
func pathProblem(p string) string {
	switch {
	case !strings.HasPrefix(p, "/"):
		return fmt.Sprintf("path %q must start with '/'", p)
	case len(p) > maxPathLength:
		return fmt.Sprintf("path has %d bytes, at most %d are allowed", len(p), maxPathLength)
	case strings.ContainsAny(p, "?#*{}%\\ \t\r\n"):
		return fmt.Sprintf("path %q must be a plain path without query, pattern, escape or space", p)
	case p != "/" && path.Clean(p) != strings.TrimSuffix(p, "/"):
		return fmt.Sprintf("path %q has empty, '.' or '..' segments", p)
	}
	return ""
}

// checkRouteClashes reports routes with the same method and path. Different model
// services may have the same route, since the model in the body of a request
// selects the service. Prefixes of different lengths do not clash, since the
// longest match is used.
func (c *checker) checkRouteClashes() {
	type routePosition struct{ service, route int }
	first := map[routeKey]routePosition{}
	for i := range c.set.Services {
		o := &c.set.Services[i]
		for j, r := range o.AllRoutes() {
			key := routeKey{r.Method, r.Path}
			earlier, taken := first[key]
			if !taken {
				first[key] = routePosition{i, j}
				continue
			}
			other := &c.set.Services[earlier.service]
			if earlier.service != i && other.Kind == ModelService && o.Kind == ModelService {
				continue
			}
			c.report(KindService, i, fmt.Sprintf("routes[%d].path", j), "%s %s clashes with route %q of %s",
				r.Method, r.Path, other.AllRoutes()[earlier.route].Name, c.describe(KindService, earlier.service))
		}
	}
}

func (c *checker) checkVersion(i int, o *Version) {
	service := c.services[o.Service]
	if service == nil {
		c.report(KindVersion, i, "service", "service %q does not exist", o.Service)
	} else {
		c.checkModel(i, o, service.Kind)
	}
	c.checkText(KindVersion, i, "model", o.Model)
	if o.WeightBytes < 0 {
		c.report(KindVersion, i, "weightBytes", "weightBytes %d is below zero", o.WeightBytes)
	}
	if service != nil && !service.Discovered && !c.servedVersions[o.Name] {
		c.report(KindVersion, i, "name", "no target of service %q lists the version, so nothing can serve it", o.Service)
	}
}

func (c *checker) checkModel(i int, o *Version, kind ServiceKind) {
	if kind == ModelService && o.Model == "" {
		c.report(KindVersion, i, "model", "a version of a model service needs a model")
	}
	if kind == PlainService && o.Model != "" {
		c.report(KindVersion, i, "model", "a version of a plain service has no model, found %q", o.Model)
	}
	if kind == PlainService && o.WeightBytes > 0 {
		c.report(KindVersion, i, "weightBytes", "a version of a plain service has no weights")
	}
}
