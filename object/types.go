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

	// Positions says where the objects were read from. It is not part of the
	// content: it is neither encoded nor compared, and may be nil.
	Positions Positions `json:"-" yaml:"-"`
}

// ServiceKind says which protocol the targets of a service speak.
type ServiceKind string

// Calls of a model service that names no routes.
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

// Service is a set of targets that answer the same routes.
type Service struct {
	Name string      `json:"name" yaml:"name"`
	Kind ServiceKind `json:"kind" yaml:"kind"`
	// Version is the version that serves when no move is in progress.
	Version string `json:"version" yaml:"version"`
	// Routes are the calls of the service. A model service has one route,
	// chat completions, unless it names more.
	Routes []Route `json:"routes,omitempty" yaml:"routes,omitempty"`
	// Discovered services have targets that register themselves. There may be none
	// of a version for a while, and their calls are those of the ingresses.
	Discovered bool `json:"discovered,omitempty" yaml:"discovered,omitempty"`
	// EventTokens is the number of tokens in one event of its streams.
	EventTokens int `json:"eventTokens,omitempty" yaml:"eventTokens,omitempty"`
	// HealthPath is the path of the health check of a discovered target.
	HealthPath string `json:"healthPath,omitempty" yaml:"healthPath,omitempty"`
}

// AllRoutes returns the routes of the service, or the default route of a model
// service that names none. A model call may be retried: its answer is a stream
// that resumes, and it changes no state.
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
	// Timeout bounds one call on this route; 0 takes the tier's deadline.
	Timeout time.Duration `json:"timeout,omitempty" yaml:"timeout,omitempty"`
}

// Target is one server of a service.
type Target struct {
	Name       string `json:"name" yaml:"name"`
	Service    string `json:"service" yaml:"service"`
	DataCentre string `json:"dataCentre" yaml:"dataCentre"`
	Region     string `json:"region" yaml:"region"`
	// Address is host:port with an IP number.
	Address string `json:"address" yaml:"address"`
	// Hardware names the hardware generation; estimates are kept per generation.
	Hardware string `json:"hardware" yaml:"hardware"`
	// Slots is the number of requests the target runs at once (batch size).
	Slots int `json:"slots" yaml:"slots"`
	// KVTokens is the size of the engine's KV cache in tokens; 0 for plain services.
	KVTokens int `json:"kvTokens,omitempty" yaml:"kvTokens,omitempty"`
	// Versions are the versions that the target can serve.
	Versions []string `json:"versions,omitempty" yaml:"versions"`
	// ChecksFencing says that the target refuses orders with an old fencing number.
	ChecksFencing bool `json:"checksFencing" yaml:"checksFencing"`
	// Leaving stops new work for the target; requests in flight finish. The
	// administration API sets it on drain and clears it on undrain.
	Leaving bool `json:"leaving,omitempty" yaml:"leaving,omitempty"`
}

// Version is one release of a service's back end.
type Version struct {
	Name    string `json:"name" yaml:"name"`
	Service string `json:"service" yaml:"service"`
	// Model is the model name that the engine loads; empty for plain services.
	Model string `json:"model,omitempty" yaml:"model,omitempty"`
	// WeightBytes is what loading the version takes from the weight store.
	WeightBytes int64 `json:"weightBytes,omitempty" yaml:"weightBytes,omitempty"`
}

// Tier is a class of importance. Rank 0 is the highest.
type Tier struct {
	Name string `json:"name" yaml:"name"`
	Rank int    `json:"rank" yaml:"rank"`
	// FirstToken is the time within which the first token is due.
	FirstToken time.Duration `json:"firstToken" yaml:"firstToken"`
	// Deadline is the time within which the whole answer is due.
	Deadline time.Duration `json:"deadline" yaml:"deadline"`
}

// ClientAccount is a customer whose callers share limits.
type ClientAccount struct {
	Name string `json:"name" yaml:"name"`
	Tier string `json:"tier" yaml:"tier"`
	// Services lists what the account may call; empty permits all.
	Services []string `json:"services,omitempty" yaml:"services,omitempty"`
	// RequestsPerSecond limits the account over all daemons; 0 is no limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty" yaml:"requestsPerSecond,omitempty"`
	// TokensPerSecond limits prompt and output tokens over all daemons; 0 is no limit.
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty" yaml:"tokensPerSecond,omitempty"`
	// Burst is what the account may take beyond its rate, in the unit of its limit.
	Burst float64 `json:"burst,omitempty" yaml:"burst,omitempty"`
	// TokensPerCall is what a call that states no token counts takes of TokensPerSecond.
	TokensPerCall int `json:"tokensPerCall,omitempty" yaml:"tokensPerCall,omitempty"`
	// TokenDigests are SHA-256 digests (hex) of the bearer tokens of the account.
	TokenDigests []string `json:"tokenDigests,omitempty" yaml:"tokenDigests,omitempty"`
}

// Move brings a service from one version to another by a deadline.
type Move struct {
	Name    string `json:"name" yaml:"name"`
	Service string `json:"service" yaml:"service"`
	From    string `json:"from" yaml:"from"`
	To      string `json:"to" yaml:"to"`
	// Deadline is the time by which the move is done or taken back.
	Deadline time.Time `json:"deadline" yaml:"deadline"`
	// Attempt is raised by the operator to try a reversed move again.
	Attempt int `json:"attempt" yaml:"attempt"`
	// Steps are rising shares of traffic in percent, the last 100; empty takes
	// the default steps.
	Steps []float64 `json:"steps,omitempty" yaml:"steps,omitempty"`
	// Soak is the time at full share before the move counts as done.
	Soak time.Duration `json:"soak,omitempty" yaml:"soak,omitempty"`
}
