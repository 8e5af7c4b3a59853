package control

import (
	"fmt"
	"time"

	"fulmarfall/ident"
	"fulmarfall/rollout"
)

// maxReasonBytes bounds the reason of a step of a roll-out.
const maxReasonBytes = 1024

func encodeRollout(c Command) (*rolloutBody, error) {
	switch c := c.(type) {
	case OrderRollout:
		o := rollout.Order{Upstream: c.Upstream, Target: c.Target, Current: c.Current, Within: c.Within}
		if err := o.Check(); err != nil {
			return nil, fmt.Errorf("order roll-out: %w", err)
		}

		return bodyOfOrder(&o), nil
	case AdvanceRollout:
		return &rolloutBody{
			Upstream: string(c.Upstream), ID: uint64(c.Order), Stage: uint8(c.Stage), AgeNano: int64(c.Age),
			Reason: c.Reason[:min(len(c.Reason), maxReasonBytes)], Grants: bodiesOfGrants(c.Grants),
		}, nil
	default:
		return nil, fmt.Errorf("command %T: %w", c, ErrUnknownType)
	}
}

func decodeRollout(kind uint16, data []byte) (Command, error) {
	b := new(rolloutBody)
	if err := decodeExact(b, data); err != nil {
		return nil, fmt.Errorf("roll-out: %w", err)
	}

	if kind == typeAdvanceRollout {
		return AdvanceRollout{
			Upstream: ident.UpstreamID(b.Upstream), Order: rollout.OrderID(b.ID), Stage: rollout.Stage(b.Stage),
			Age: time.Duration(b.AgeNano), Reason: b.Reason[:min(len(b.Reason), maxReasonBytes)], Grants: b.grants(),
		}, nil
	}

	o := b.order()
	if err := o.Check(); err != nil {
		return nil, fmt.Errorf("roll-out: %w: %w", ErrMalformed, err)
	}

	return OrderRollout{Upstream: o.Upstream, Target: o.Target, Current: o.Current, Within: o.Within}, nil
}

func bodyOfOrder(o *rollout.Order) *rolloutBody {
	b := &rolloutBody{
		ID: uint64(o.ID), Upstream: string(o.Upstream), Target: string(o.Target), WithinNano: int64(o.Within),
		Stage: uint8(o.Stage), Reason: o.Reason, AgeNano: int64(o.Age), Grants: bodiesOfGrants(o.Grants),
	}
	if !o.OrderedAt.IsZero() {
		b.OrderedNano = o.OrderedAt.UnixNano()
	}

	for _, v := range o.Current {
		b.Current = append(b.Current, string(v))
	}

	return b
}

func (b *rolloutBody) order() rollout.Order {
	o := rollout.Order{
		ID: rollout.OrderID(b.ID), Upstream: ident.UpstreamID(b.Upstream), Target: ident.SoftwareVersion(b.Target),
		Within: time.Duration(b.WithinNano), OrderedAt: time.Unix(0, b.OrderedNano), Stage: rollout.Stage(b.Stage),
		Reason: b.Reason, Age: time.Duration(b.AgeNano), Grants: b.grants(),
	}
	for _, v := range b.Current {
		o.Current = append(o.Current, ident.SoftwareVersion(v))
	}

	return o
}

func bodiesOfGrants(list []rollout.Grant) (bodies []grantBody) {
	for _, g := range list[:min(len(list), rollout.MaxGrants)] {
		bodies = append(bodies, grantBody{Node: string(g.Node), Incarnation: g.Incarnation, Credit: g.Credit})
	}

	return bodies
}

func (b *rolloutBody) grants() (list []rollout.Grant) {
	for _, g := range b.Grants {
		list = append(list, rollout.Grant{
			Source: rollout.Source{Node: ident.NodeID(g.Node), Incarnation: g.Incarnation}, Credit: g.Credit,
		})
	}

	return list
}

// imageOfRollouts returns the encoded form of a table in a snapshot, ordered by upstream.
func imageOfRollouts(t *rollout.Table) *rolloutImage {
	orders := t.Orders()
	image := &rolloutImage{Orders: make([]rolloutBody, 0, len(orders))}

	for i := range orders {
		image.Orders = append(image.Orders, *bodyOfOrder(&orders[i]))
	}

	return image
}

func (m *rolloutImage) table() (*rollout.Table, error) {
	orders := make([]rollout.Order, 0, len(m.Orders))
	for i := range m.Orders {
		orders = append(orders, m.Orders[i].order())
	}

	return rollout.FromOrders(orders)
}
