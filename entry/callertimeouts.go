package entry

import "time"

const (
	// defaultHeaderTimeout and defaultIdleTimeout apply until a configuration is known, and where it states no limit.
	// They only keep connections from staying open indefinitely.
	defaultHeaderTimeout = 30 * time.Second
	defaultIdleTimeout   = 75 * time.Second
	// bodyTimeout bounds the arrival of a body, for which operators configure a size but no time. It admits 256 KiB at
	// 70 Kbit/s.
	bodyTimeout = 30 * time.Second
)

// CallerTimeouts are the limits on the time that a caller may take.
type CallerTimeouts struct {
	Header time.Duration // from the first byte of a request to the end of its header
	Body   time.Duration // from the end of the header to the end of the body
	Idle   time.Duration // from the end of an answer, or the opening of the connection, to the first byte of the next request
}

// CallerTimeouts returns the limits of the configuration in force, or the defaults for those that it does not state.
func (n *Node) CallerTimeouts() CallerTimeouts {
	t := CallerTimeouts{Header: defaultHeaderTimeout, Body: bodyTimeout, Idle: defaultIdleTimeout}

	if v := n.view.Load(); v != nil {
		if limit := v.configuration.Limits.HeaderTimeout; limit > 0 {
			t.Header = limit
		}

		if limit := v.configuration.Limits.IdleTimeout; limit > 0 {
			t.Idle = limit
		}
	}

	return t
}

// MaxBodyBytes returns the limit of bodies in the configuration in force, or defaultLimit if it states none.
func (n *Node) MaxBodyBytes(defaultLimit int) int {
	if v := n.view.Load(); v != nil && v.configuration.Limits.MaxBodyBytes > 0 {
		return v.configuration.Limits.MaxBodyBytes
	}

	return defaultLimit
}

// MaxHeaderBytes returns the limit of headers in the configuration in force, or 0 if it states none.
func (n *Node) MaxHeaderBytes() int {
	if v := n.view.Load(); v != nil {
		return max(v.configuration.Limits.MaxHeaderBytes, 0)
	}

	return 0
}
