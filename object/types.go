package object

import "time"

// Set is the whole configuration of one generation. Names are unique within
// each kind.
type Set struct {
	Services       []Service       `json:"services" yaml:"services"`
	Targets        []Target        `json:"targets" yaml:"targets"`
	Versions       []Version       `json:"versions" yaml:"versions"`
	Tiers          []Tier          `json:"tiers" yaml:"tiers"`
	ClientAccounts []ClientAccount `json:"clientAccounts" yaml:"clientAccounts"`
	Moves          []Move          `json:"moves" yaml:"moves"`
	Ingresses      []Ingress       `json:"ingresses,omitempty" yaml:"ingresses,omitempty"`
	Evacuations    []Evacuation    `json:"evacuations,omitempty" yaml:"evacuations,omitempty"`

	// External is set if another system defines the objects. It chooses the names, and an
	// account without a tier has that of the ingress. The flag is not encoded.
	External bool `json:"-" yaml:"-"`
	// Positions holds where in the files the objects were read from. It is not
	// part of the content: it is neither encoded nor compared, and may be nil.
	Positions Positions `json:"-" yaml:"-"`
}

// ServiceKind is the kind of protocol that the targets of a service speak.
type ServiceKind string

// The route of a model service that names no routes.
const (
	DefaultModelRoute  = "chat"
	DefaultModelMethod = "POST"
	DefaultModelPath   = "/v1/chat/completions"
)

const (
	// ModelService is served by LLM engines: chat completions with SSE.
	ModelService ServiceKind = "model"
	// PlainService is served by ordinary HTTP servers.
	PlainService ServiceKind = "plain"
)

// Service is a set of targets that serve the same routes.
type Service struct {
	Name string      `json:"name" yaml:"name"`
	Kind ServiceKind `json:"kind" yaml:"kind"`
	// Version is the version in use when no move is in progress.
	Version string `json:"version" yaml:"version"`
	// Routes are the calls that the service accepts. A model service that names
	// no routes has one, chat completions.
	Routes []Route `json:"routes,omitempty" yaml:"routes,omitempty"`
	// Discovered reports whether the targets of the service register themselves.
	// A version of such a service may have no target for a while, and the service
	// gets its calls through ingresses.
	Discovered bool `json:"discovered,omitempty" yaml:"discovered,omitempty"`
	// EventTokens is the number of tokens in one event of the service's streams.
	EventTokens int `json:"eventTokens,omitempty" yaml:"eventTokens,omitempty"`
	// HealthPath is the path of the health check of a discovered target.
	HealthPath string `json:"healthPath,omitempty" yaml:"healthPath,omitempty"`
	// ColdStart is how long a target is cold, which means slow, after a start.
	ColdStart time.Duration `json:"coldStart,omitempty" yaml:"coldStart,omitempty"`
	// ColdRate is the number of requests per second that a cold target tolerates; 0 is no
	// limit.
	ColdRate float64 `json:"coldRate,omitempty" yaml:"coldRate,omitempty"`
}

// AllRoutes returns the routes of the service, or the default route of a model
// service that names none. The default route is idempotent: a model call changes
// no state, and its answer is a stream that can be resumed.
func (o *Service) AllRoutes() []Route {
	if o.Kind != ModelService || len(o.Routes) > 0 {
		return o.Routes
	}
	return []Route{{
		Name:       DefaultModelRoute,
		Method:     DefaultModelMethod,
		Path:       DefaultModelPath,
		Idempotent: true,
	}}
}

// Route is one call of a service.
type Route struct {
	Name   string `json:"name" yaml:"name"`
	Method string `json:"method" yaml:"method"`
	// Path is matched exactly, or by prefix when it ends in "/".
	Path string `json:"path" yaml:"path"`
	// Idempotent calls may be retried and hedged; others run at most once.
	Idempotent bool `json:"idempotent" yaml:"idempotent"`
	// Timeout bounds one call on this route; 0 means the tier's deadline.
	Timeout time.Duration `json:"timeout,omitempty" yaml:"timeout,omitempty"`
}

// Target is one server of a service.
type Target struct {
	Name       string `json:"name" yaml:"name"`
	Service    string `json:"service" yaml:"service"`
	DataCentre string `json:"dataCentre" yaml:"dataCentre"`
	Region     string `json:"region" yaml:"region"`
	// Address is an IP address and a port, such as 10.0.0.7:8000.
	Address string `json:"address" yaml:"address"`
	// Hardware names the hardware generation; estimates are kept per generation.
	Hardware string `json:"hardware" yaml:"hardware"`
	// Slots is the number of requests the target runs at once (batch size).
	Slots int `json:"slots" yaml:"slots"`
	// KVTokens is the size of the engine's KV cache in tokens; 0 for plain services.
	KVTokens int `json:"kvTokens,omitempty" yaml:"kvTokens,omitempty"`
	// Versions are the versions that the target can serve.
	Versions []string `json:"versions,omitempty" yaml:"versions"`
	// ChecksFencing reports whether the target refuses commands with an old
	// fencing number.
	ChecksFencing bool `json:"checksFencing" yaml:"checksFencing"`
	// Leaving reports whether the target is being drained: it gets no new
	// requests, and those in flight finish. The administration API sets it on
	// drain and clears it on undrain.
	Leaving bool `json:"leaving,omitempty" yaml:"leaving,omitempty"`
	// Evacuated reports whether the target's data centre is evacuated. NewIndex sets it from
	// the evacuations of the set; operators do not publish it.
	Evacuated bool `json:"-" yaml:"-"`
	// ColdStart and ColdRate are those of the service. NewIndex sets them; operators do not
	// publish them with targets.
	ColdStart time.Duration `json:"-" yaml:"-"`
	ColdRate  float64       `json:"-" yaml:"-"`
	// StartedAt is when the target's process started, as its platform states it; zero if
	// unknown. Operators do not publish it.
	StartedAt time.Time `json:"-" yaml:"-"`
}

// Version is one release of a service's back end.
type Version struct {
	Name    string `json:"name" yaml:"name"`
	Service string `json:"service" yaml:"service"`
	// Model is the model name that the engine loads; empty for plain services.
	Model string `json:"model,omitempty" yaml:"model,omitempty"`
	// WeightBytes is the number of bytes read from the weight store to load the
	// version.
	WeightBytes int64 `json:"weightBytes,omitempty" yaml:"weightBytes,omitempty"`
}

// Tier is a priority class of requests. Rank 0 is the highest.
type Tier struct {
	Name string `json:"name" yaml:"name"`
	Rank int    `json:"rank" yaml:"rank"`
	// FirstToken is the time within which the first token is due.
	FirstToken time.Duration `json:"firstToken" yaml:"firstToken"`
	// Deadline is the time within which the whole answer is due.
	Deadline time.Duration `json:"deadline" yaml:"deadline"`
}

// ClientAccount is a customer whose callers share rate limits.
type ClientAccount struct {
	Name string `json:"name" yaml:"name"`
	Tier string `json:"tier" yaml:"tier"`
	// Services lists the services that the account may call; empty permits all.
	Services []string `json:"services,omitempty" yaml:"services,omitempty"`
	// RequestsPerSecond limits the account's requests over all daemons; 0 is no
	// limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty" yaml:"requestsPerSecond,omitempty"`
	// TokensPerSecond limits prompt and output tokens over all daemons; 0 is no limit.
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty" yaml:"tokensPerSecond,omitempty"`
	// Burst is how many requests or tokens, in the unit of its limit, the account
	// may use beyond its rate.
	Burst float64 `json:"burst,omitempty" yaml:"burst,omitempty"`
	// TokensPerCall is the number of tokens that a call is charged against
	// TokensPerSecond if it states no token counts.
	TokensPerCall int `json:"tokensPerCall,omitempty" yaml:"tokensPerCall,omitempty"`
	// AllowedRegions lists the regions that may serve the account; empty permits all.
	AllowedRegions []string `json:"allowedRegions,omitempty" yaml:"allowedRegions,omitempty"`
	// TokenDigests are SHA-256 digests (hex) of the bearer tokens of the account.
	TokenDigests []string `json:"tokenDigests,omitempty" yaml:"tokenDigests,omitempty"`
}

// Move brings a service from one version to another by a deadline.
type Move struct {
	Name    string `json:"name" yaml:"name"`
	Service string `json:"service" yaml:"service"`
	From    string `json:"from" yaml:"from"`
	To      string `json:"to" yaml:"to"`
	// Deadline is the time by which the move must be done or reversed.
	Deadline time.Time `json:"deadline" yaml:"deadline"`
	// Attempt is a number that the operator raises to try a reversed move again.
	Attempt int `json:"attempt" yaml:"attempt"`
	// Steps are rising shares of traffic in percent, the last 100; empty means the
	// default steps.
	Steps []float64 `json:"steps,omitempty" yaml:"steps,omitempty"`
	// Soak is the time that the new version serves all traffic before the move
	// counts as done.
	Soak time.Duration `json:"soak,omitempty" yaml:"soak,omitempty"`
}
