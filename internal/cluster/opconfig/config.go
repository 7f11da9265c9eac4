// Package opconfig defines the operators' configuration: its schema, its validation, the lookup of routes,
// and the replicated register that holds the newest configuration. It does no I/O.
//
// A caller validates a new configuration with Parse before it proposes it as a Change, and applies committed
// changes to a Register in the order of the log: replicas that apply the same changes have the same state.
// Config.Match finds the queue of a client's request, and Register.MovedQueues the services that may still
// have jobs of a queue that was moved.
package opconfig

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Route defines a queue: the host and path at which clients submit jobs, and the service whose runners run
// them. The JSON names are those of the operators' configuration; the Go names are sent between processes
// (protocol.SubmitRequest).
type Route struct {
	Name       string  `json:"name"`
	Host       string  `json:"host"`
	PathPrefix string  `json:"path_prefix"`
	TimeoutMs  int64   `json:"timeout_ms"` // time limit of a client's request at the dispatcher
	TargetMs   float64 `json:"target_ms"`  // fixed part of a job's latency target, in addition to Extension
	Priority   int     `json:"priority"`   // lower numbers are started first
	Backend    string  `json:"backend"`    // the service
	Retries    int     `json:"retries"`    // a job fails once one of its tasks has this many failed runs
	Extension  float64 `json:"extension"`  // variable part of a job's latency target, as a multiple of its work
}

// Queue returns the name of the queue: its host and path prefix.
func (r *Route) Queue() string { return r.Host + r.PathPrefix }

// Service is a set of runners.
type Service struct {
	Name   string `json:"name"`
	Guards bool   `json:"guards"` // its runners reject a task that does not fit; for information only
}

// Limits are limits on clients' requests. Only MaxBodyBytes has an effect; if it is 0, the dispatcher's own
// limit applies.
type Limits struct {
	MaxHeaderBytes  int   `json:"max_header_bytes"`
	MaxBodyBytes    int64 `json:"max_body_bytes"`
	HeaderTimeoutMs int64 `json:"header_timeout_ms"`
	IdleTimeoutMs   int64 `json:"idle_timeout_ms"`
}

// Config is one version of the configuration. It is immutable, and may be read concurrently.
type Config struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`

	byQueue map[string]*Route
	// hasOpenPrefix is set if a route's prefix doesn't end with a slash.
	hasOpenPrefix bool
}

//go:embed schema.json
var schemaText []byte

var schema = mustCompileSchema()

func mustCompileSchema() *jsonschema.Schema {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		panic(err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("config.json", document); err != nil {
		panic(err)
	}
	return compiler.MustCompile("config.json")
}

// ErrInvalid is returned, wrapped, by Parse and Decode if a configuration is not valid. They return no other
// errors.
var ErrInvalid = errors.New("the configuration is invalid: correct it and send it again")

// Parse validates a configuration against the schema and decodes it.
func Parse(content []byte) (*Config, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(content))
	if err != nil {
		return nil, errors.Wrapf(ErrInvalid, "not whole JSON: %v", err)
	}
	if err := schema.Validate(document); err != nil {
		return nil, errors.Wrapf(ErrInvalid, "not of the form that the schema gives: %v", err)
	}
	return Decode(content)
}

// Decode decodes a configuration that Parse has validated before. It checks names and references, but not the
// schema, so that a later schema can't make a committed configuration unreadable.
func Decode(content []byte) (*Config, error) {
	config := &Config{}
	if err := json.Unmarshal(content, config); err != nil {
		return nil, errors.Wrapf(ErrInvalid, "not whole JSON: %v", err)
	}
	if err := config.indexRoutes(); err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	return config, nil
}

// indexRoutes checks that services and queues are unique and that each route's service exists, and fills
// byQueue.
func (c *Config) indexRoutes() error {
	services := map[string]bool{}
	for _, service := range c.Services {
		if services[service.Name] {
			return errors.Newf("service %q stands twice: keep one", service.Name)
		}
		services[service.Name] = true
	}
	c.byQueue = map[string]*Route{}
	for i := range c.Routes {
		route := &c.Routes[i]
		if !services[route.Backend] {
			return errors.Newf("route %q names the unknown service %q: add the service, or name another", route.Name, route.Backend)
		}
		if c.byQueue[route.Queue()] != nil {
			return errors.Newf("two routes have host %q and prefix %q: change or remove one", route.Host, route.PathPrefix)
		}
		c.byQueue[route.Queue()] = route
		c.hasOpenPrefix = c.hasOpenPrefix || !strings.HasSuffix(route.PathPrefix, "/")
	}
	return nil
}

// Route returns the route whose Queue is the given one, and whether there is one.
func (c *Config) Route(queue string) (*Route, bool) {
	route, ok := c.byQueue[queue]
	return route, ok
}

// Match returns the route of that host with the longest prefix of the path, and whether there is one.
func (c *Config) Match(host, path string) (*Route, bool) {
	if c.hasOpenPrefix {
		return c.matchAnyPrefix(host, path)
	}
	for end := len(path); end > 0; {
		if route, ok := c.byQueue[host+path[:end]]; ok {
			return route, true
		}
		end = strings.LastIndexByte(path[:end-1], '/') + 1
	}
	return nil, false
}

// matchAnyPrefix is Match for prefixes that need not end with a slash. It examines all routes.
func (c *Config) matchAnyPrefix(host, path string) (best *Route, ok bool) {
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Host == host && strings.HasPrefix(path, route.PathPrefix) && (best == nil || len(route.PathPrefix) > len(best.PathPrefix)) {
			best = route
		}
	}
	return best, best != nil
}
