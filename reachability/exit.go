package reachability

// ExitProbe is what a node can do to find out whether a searcher that has lost a connection has exited.
type ExitProbe interface {
	// Refuses reports whether the searcher refuses a connection. One that is at its connection limit, or takes long, does not.
	Refuses() bool
	// OthersAccept reports whether another searcher accepts a connection, or there is none to ask.
	OthersAccept() bool
	// Restarted reports whether a later incarnation of the searcher, or another searcher at its address, is known.
	Restarted() bool
}

// Exit tells whether a searcher has exited.
type Exit uint8

const (
	// ExitUnknown means that the links of the node do not work.
	ExitUnknown Exit = iota
	// Running means that the searcher has lost a connection for another reason.
	Running
	// Exited means that the process of the searcher has ended.
	Exited
)

// ProbeExit finds out whether a searcher has exited. If the links of the node fail, all searchers refuse connections, so the
// searcher has to refuse one between two that others accept. If it accepts one, either the links had failed for a moment or it
// has restarted, which it reports. refused is set if an earlier probe has found that it refuses connections.
func ProbeExit(p ExitProbe, refused bool) (e Exit, refuses bool) {
	if !p.Refuses() {
		return runs(p, refused), refused
	}

	if !p.OthersAccept() {
		return ExitUnknown, true
	}

	if !p.Refuses() {
		return runs(p, true), true
	}

	if !p.OthersAccept() {
		return ExitUnknown, true
	}

	return Exited, true
}

// runs returns the verdict on a searcher that accepts connections, and has refused one before if refused is set.
func runs(p ExitProbe, refused bool) Exit {
	if refused && p.Restarted() {
		return Exited
	}

	return Running
}
