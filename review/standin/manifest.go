package main

// manifest is the operator's configuration, as on the users' pages.
type manifest struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
}

type route struct {
	Name            string   `json:"name"`
	Host            string   `json:"host"`
	PathPrefix      string   `json:"pathPrefix"`
	Kind            string   `json:"kind"`
	TimeoutMs       int      `json:"timeoutMs"`
	TargetLatencyMs int      `json:"targetLatencyMs"`
	Priority        int      `json:"priority"`
	Service         string   `json:"service"`
	MaxAttempts     int      `json:"maxAttempts"`
	AllowedRegions  []string `json:"allowedRegions"`
}

type service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"healthPath"`
	MaxConnections int     `json:"maxConnections"`
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	WarmupS        float64 `json:"warmupS"`
	ColdPerS       float64 `json:"coldPerS"`
}

type limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

// Kinds of routes, and the path of health probes.
const (
	idempotent    = "idempotent"
	nonIdempotent = "non_idempotent"
	healthPath    = "/health"
)

func newManifest(version int, routes []route, services ...string) manifest {
	m := manifest{
		Version: version, Routes: routes,
		Limits: limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
	for _, name := range services {
		m.Services = append(m.Services, service{Name: name, HealthPath: healthPath, MaxConnections: 40, Protocol: "h1", WarmupS: 3})
	}

	return m
}

func newRoute(name, prefix, kind, to string) route {
	return route{
		Name: name, Host: host, PathPrefix: prefix, Kind: kind, TimeoutMs: 5000, TargetLatencyMs: 300, Priority: 2, Service: to,
		MaxAttempts: 2, AllowedRegions: []string{},
	}
}
