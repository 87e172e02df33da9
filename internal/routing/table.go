package routing

import (
	"cmp"
	"slices"
	"strings"
)

// Table looks up routes, services and client accounts. It is immutable.
type Table struct {
	version    uint64
	limits     Limits
	byHost     map[string]*hostRoutes
	services   map[string]*Service
	keys       map[string]*Account
	routeCount int
	// hasColdServers is set if a service limits the requests to cold servers.
	hasColdServers bool
}

// hostRoutes holds the routes of one host by prefix.
type hostRoutes struct {
	byPrefix map[string]*Route
	// lengths are the distinct lengths of the prefixes, longest first.
	lengths []int
}

// New builds a Table from a configuration. The Table keeps references to the slices and
// the map of c; the caller must not change them afterwards.
func New(c Config) *Table {
	t := &Table{
		version:    c.Version,
		limits:     c.Limits,
		byHost:     make(map[string]*hostRoutes),
		services:   make(map[string]*Service, len(c.Services)),
		keys:       c.Keys,
		routeCount: len(c.Routes),
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
		t.hasColdServers = t.hasColdServers || c.Services[i].HasColdServers()
	}
	for i := range c.Routes {
		t.add(&c.Routes[i])
	}
	for _, h := range t.byHost {
		h.sortLengths()
	}
	return t
}

func (t *Table) add(r *Route) {
	h := t.byHost[r.Host]
	if h == nil {
		h = &hostRoutes{byPrefix: make(map[string]*Route)}
		t.byHost[r.Host] = h
	}
	h.byPrefix[r.Prefix] = r
}

func (h *hostRoutes) sortLengths() {
	for prefix := range h.byPrefix {
		if !slices.Contains(h.lengths, len(prefix)) {
			h.lengths = append(h.lengths, len(prefix))
		}
	}
	slices.SortFunc(h.lengths, func(a, b int) int { return cmp.Compare(b, a) })
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits on requests.
func (t *Table) Limits() Limits { return t.limits }

// Routes returns the number of routes.
func (t *Table) Routes() int { return t.routeCount }

// Match returns the route of the host with the longest prefix that matches the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	h := t.byHost[host]
	if h == nil {
		return nil, false
	}
	for _, n := range h.lengths {
		if n > len(path) {
			continue
		}
		if r, ok := h.byPrefix[path[:n]]; ok {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the given name; ok is false if there is none.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// HasColdServers reports whether any service limits the requests to cold servers.
func (t *Table) HasColdServers() bool { return t.hasColdServers }

// NeedsKey reports whether requests of the route must have a key.
func (t *Table) NeedsKey(r *Route) bool { return t.keys != nil && !r.Anonymous }

// Account returns the client account of a key.
func (t *Table) Account(key string) (*Account, bool) {
	a, ok := t.keys[key]
	return a, ok
}

// Allows reports whether a request that was matched with an earlier table may still
// be sent to the service: its key still belongs to the account, and its route still
// exists and has the service as a target with a positive weight.
func (t *Table) Allows(r *Route, key string, account *Account, service string) bool {
	current, ok := t.byHost[r.Host].route(r.Prefix)
	return ok && current.hasTarget(service) && t.AllowsKey(current, key, account)
}

// AllowsKey reports whether the key of a request to a route still belongs to the account, or
// needs none.
func (t *Table) AllowsKey(r *Route, key string, account *Account) bool {
	if !t.NeedsKey(r) {
		return true
	}
	holder, ok := t.keys[key]
	return ok && account != nil && holder.Name == account.Name
}

func (h *hostRoutes) route(prefix string) (*Route, bool) {
	if h == nil {
		return nil, false
	}
	r, ok := h.byPrefix[prefix]
	return r, ok
}

func (r *Route) hasTarget(service string) bool {
	for _, target := range r.Targets {
		if target.Service == service && target.Weight > 0 {
			return true
		}
	}
	return false
}

// Choose returns the service for a request by weight. draw is a uniform random number
// in [0,1). It returns false if no target has weight.
func (r *Route) Choose(draw float64) (string, bool) {
	total := 0
	for _, target := range r.Targets {
		total += max(0, target.Weight)
	}
	rest := draw * float64(total)
	for _, target := range r.Targets {
		if target.Weight <= 0 {
			continue
		}
		if rest < float64(target.Weight) {
			return target.Service, true
		}
		rest -= float64(target.Weight)
	}
	return "", false
}

// HostOnly returns a Host header in lower case and without the port.
func HostOnly(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
