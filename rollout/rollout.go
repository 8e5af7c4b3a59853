// Package rollout moves the traffic of an upstream to searchers of another software version, in steps, and back if that
// version proves to be bad. It contains the stored orders, the credit that bounds the requests to the new version, and the
// evaluation by which the leader decides on each step.
package rollout

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"fulmarfall/ident"
)

// Limits are the settings for roll-outs. They are off if Enabled is false.
type Limits struct {
	Enabled bool
	// CanaryShare is the largest fraction of the requests to an upstream that a version may get before it has proved itself,
	// and CanarySlack a number of further requests, both summed over all entry VMs.
	CanaryShare float64
	CanarySlack float64
}

// OrderID identifies an order; it is the index of its command in the log.
type OrderID uint64

// Stage is the progress of an order. It only increases, and the last two values are final.
type Stage uint8

// Stages of an order.
const (
	// StageBegin sends a small part of the requests to the new version, while the leader learns which entry VMs have callers.
	StageBegin Stage = iota + 1
	// StageCanary is the same, with credit that the leader has granted to the entry VMs with callers.
	StageCanary
	// StageLoad sends one searcher of the new version as much as it will get afterwards, within the same bound.
	StageLoad
	// StageAll sends all requests to the new version, and waits for those at the old one to end.
	StageAll
	StageCompleted
	StageRolledBack
)

// String returns the name of the stage as it appears in log lines.
func (s Stage) String() string {
	switch s {
	case StageBegin:
		return "begin"
	case StageCanary:
		return "canary"
	case StageLoad:
		return "load"
	case StageAll:
		return "all"
	case StageCompleted:
		return "completed"
	case StageRolledBack:
		return "rolled_back"
	default:
		return "unknown"
	}
}

// Running reports whether the order is not decided yet.
func (s Stage) Running() bool { return s < StageCompleted }

// Order is an order to move the traffic of an upstream to the searchers of a version.
type Order struct {
	ID       OrderID
	Upstream ident.UpstreamID
	Target   ident.SoftwareVersion
	// Current are the versions that served the upstream when the order was made, in ascending order.
	Current []ident.SoftwareVersion
	// Within is the time from the order to its deadline.
	Within    time.Duration
	OrderedAt time.Time // by the clock of the replicated state
	Stage     Stage
	// Reason is why the last step was taken, and Age the time from the order to that step as measured by the leader.
	Reason string
	Age    time.Duration
	// Grants are the credits for canaries that the leader has granted.
	Grants []Grant
}

// Grant is a credit for canaries of one run of an entry VM.
type Grant struct {
	Source
	Credit float64
}

// GrantTo returns the credit that was granted to a source.
func (o *Order) GrantTo(s Source) float64 {
	for _, g := range o.Grants {
		if g.Source == s {
			return g.Credit
		}
	}

	return 0
}

// IsCurrent reports whether the version served the upstream when the order was made.
func (o *Order) IsCurrent(v ident.SoftwareVersion) bool {
	_, found := slices.BinarySearch(o.Current, v)

	return found
}

// Status is the outcome of an order.
type Status uint8

// Outcomes of an order.
const (
	StatusOrdered Status = iota + 1
	// StatusRepeated means that the same order is stored already. It is not started again.
	StatusRepeated
	// StatusConflict means that a different order for the same upstream is running.
	StatusConflict
	// StatusFull means that the table has no room.
	StatusFull
)

const (
	// RepeatWindow is the time after an order in which the same order counts as repeated even if it has been rolled back.
	// Operators' clients repeat a call for 8 s, and the clocks of two leaders may differ by 20 s.
	RepeatWindow = 30 * time.Second
	// MaxWithin is the longest time that an order may be given.
	MaxWithin = 24 * time.Hour
	// MaxOrders bounds the table, which has one order for each upstream.
	MaxOrders = 1024
	// MaxNameBytes bounds the names in an order.
	MaxNameBytes = 256
	// MaxGrants bounds the grants of an order.
	MaxGrants = 512
	// maxCurrent bounds the versions that an order names as current.
	maxCurrent = 64
)

// ErrInvalid is wrapped by the errors of Check.
var ErrInvalid = errors.New("order is invalid")

// Check returns an error if an order has an empty or too long name or an invalid time.
func (o *Order) Check() error {
	switch {
	case o.Upstream == "" || len(o.Upstream) > MaxNameBytes:
		return fmt.Errorf("%w: service of %d bytes", ErrInvalid, len(o.Upstream))
	case o.Target == "" || len(o.Target) > MaxNameBytes:
		return fmt.Errorf("%w: version of %d bytes", ErrInvalid, len(o.Target))
	case o.Within <= 0 || o.Within > MaxWithin:
		return fmt.Errorf("%w: time of %v", ErrInvalid, o.Within)
	case len(o.Grants) > MaxGrants:
		return fmt.Errorf("%w: %d grants", ErrInvalid, len(o.Grants))
	case len(o.Current) > maxCurrent:
		return fmt.Errorf("%w: %d current versions", ErrInvalid, len(o.Current))
	default:
		return nil
	}
}

// Table holds the latest order of each upstream. It is part of the replicated state and not safe for concurrent use.
type Table struct {
	orders  map[ident.UpstreamID]Order
	version uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{orders: map[ident.UpstreamID]Order{}} }

// FromOrders returns a table with the given orders.
func FromOrders(list []Order) (*Table, error) {
	t := NewTable()

	for i := range list {
		if err := list[i].Check(); err != nil {
			return nil, err
		}

		if s := list[i].Stage; s < StageBegin || s > StageRolledBack {
			return nil, fmt.Errorf("%w: stage %d", ErrInvalid, s)
		}

		t.orders[list[i].Upstream] = list[i]
	}

	return t, nil
}

// Check returns the status that Add would return at the given time, apart from StatusFull.
func (t *Table) Check(now time.Time, o Order) Status {
	old, ok := t.orders[o.Upstream]

	switch {
	case ok && old.Stage.Running() && (old.Target != o.Target || old.Within != o.Within):
		return StatusConflict
	case ok && old.Target == o.Target && (old.Stage != StageRolledBack || now.Sub(old.OrderedAt) < RepeatWindow):
		return StatusRepeated
	default:
		return StatusOrdered
	}
}

// Add stores an order at the given time of the replicated state, unless it repeats or contradicts the stored one.
func (t *Table) Add(now time.Time, o Order) Status {
	if s := t.Check(now, o); s != StatusOrdered {
		return s
	}

	if _, ok := t.orders[o.Upstream]; !ok && len(t.orders) >= MaxOrders && !t.evict() {
		return StatusFull
	}

	o.OrderedAt, o.Stage, o.Reason, o.Age = now, StageBegin, "ordered", 0
	o.Grants = nil
	o.Current = slices.Clone(o.Current)
	slices.Sort(o.Current)
	o.Current = slices.DeleteFunc(slices.Compact(o.Current), func(v ident.SoftwareVersion) bool { return v == o.Target })
	t.orders[o.Upstream] = o
	t.version++

	return StatusOrdered
}

// evict removes the oldest decided order.
func (t *Table) evict() bool {
	var oldest ident.UpstreamID

	for id, o := range t.orders {
		if first := t.orders[oldest]; !o.Stage.Running() && (oldest == "" || o.ID < first.ID) {
			oldest = id
		}
	}

	delete(t.orders, oldest)

	return oldest != ""
}

// Advance moves an order to a later stage. It returns false if the order is another one, is decided, or is not in an
// earlier stage. Only an order in StageAll can be completed.
func (t *Table) Advance(upstream ident.UpstreamID, id OrderID, s Step) bool {
	o, ok := t.orders[upstream]

	to := s.Stage
	if !ok || o.ID != id || !o.Stage.Running() || to <= o.Stage || to > StageRolledBack || to == StageCompleted && o.Stage != StageAll {
		return false
	}

	o.Stage, o.Age, o.Reason = to, s.Age, s.Reason

	switch {
	case !to.Running():
		o.Grants = nil
	case len(s.Grants) > 0:
		o.Grants = s.Grants
	}

	t.orders[upstream] = o
	t.version++

	return true
}

// Get returns the latest order of an upstream.
func (t *Table) Get(id ident.UpstreamID) (Order, bool) {
	o, ok := t.orders[id]

	return o, ok
}

// Orders returns all orders, sorted by upstream.
func (t *Table) Orders() []Order {
	list := make([]Order, 0, len(t.orders))
	for _, o := range t.orders {
		list = append(list, o)
	}

	slices.SortFunc(list, func(a, b Order) int { return cmp.Compare(a.Upstream, b.Upstream) })

	return list
}

// Len returns the number of orders.
func (t *Table) Len() int { return len(t.orders) }

// Version returns a number that changes with each change of the table.
func (t *Table) Version() uint64 { return t.version }

// AdvanceVersionPast makes the version differ from that of the table that this one replaces.
func (t *Table) AdvanceVersionPast(old *Table) { t.version = max(t.version, old.version+1) }
