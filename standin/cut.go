package standin

import "net"

// Cut is how the connections of a node to the searcher fail while the searcher itself runs on. New connections are reset in
// each case.
type Cut string

// The cuts.
const (
	CutNone Cut = ""
	// CutHang drops all data on open connections.
	CutHang Cut = "hang"
	// CutReset resets open connections.
	CutReset Cut = "reset"
	// CutRefuse leaves open connections alone.
	CutRefuse Cut = "refuse"
)

// valid reports whether c is known.
func (c Cut) valid() bool { return c == CutNone || c == CutHang || c == CutReset || c == CutRefuse }

// cutOf returns the cut that applies to a peer.
func (b *Behaviour) cutOf(peer net.Addr) Cut {
	if at, ok := peer.(*net.TCPAddr); b.CutFrom != "" && (!ok || at.IP.String() != b.CutFrom) {
		return CutNone
	}

	return b.Cut
}

// cuts reports whether a cut applies to a connection.
func (b *Behaviour) cuts(c net.Conn) bool {
	return b.Cut != CutNone && b.cutOf(c.RemoteAddr()) != CutNone
}

// applyCut resets connections when the cut changes. Those that have hung have lost data. The caller holds mu.
func (s *Searcher) applyCut(before Behaviour) {
	for c := range s.conns {
		peer := c.RemoteAddr()
		hung := before.cutOf(peer) == CutHang && s.behaviour.cutOf(peer) != CutHang

		if hung || s.behaviour.cutOf(peer) == CutReset {
			reset(c.Conn)
		}
	}
}

// hangs reports whether data on the connection is dropped.
func (c *trackedConn) hangs() bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()

	return c.s.behaviour.cutOf(c.RemoteAddr()) == CutHang
}
