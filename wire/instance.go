package wire

import (
	"cmp"
	"slices"
	"time"

	"fulmarfall/control"
	"fulmarfall/ident"
	"fulmarfall/roster"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/s2"
)

// ToWireEntries converts log entries to their wire form. The data is not copied.
func ToWireEntries(entries []control.Entry) []Entry {
	list := make([]Entry, 0, len(entries))
	for i := range entries {
		list = append(list, Entry{Index: entries[i].Index, Data: entries[i].Data})
	}

	return list
}

// ToWireInstance converts a roster entry to its wire form. Because the clocks of nodes are never compared, ColdUntil is sent as
// the time remaining at now, and the last report of the instance as its age.
func ToWireInstance(now time.Time, in *roster.Instance, age time.Duration) Instance {
	w := Instance{
		ID: string(in.ID), Role: uint8(in.Role), Upstream: in.Upstream, Address: in.Address,
		FailureDomain: in.FailureDomain, Born: in.Born, Sequence: in.Sequence, State: uint8(in.State),
		Capacity: in.Capacity, ColdMillis: max(in.ColdUntil.Sub(now), 0).Milliseconds(), AgeMillis: age.Milliseconds(),
		Disk: in.Disk, Load: in.Load, Links: uint8(in.Links), Version: string(in.Version),
	}

	if !in.Limit.StatedAt.IsZero() {
		w.LimitState, w.LimitPerSecond, w.LimitAgeMillis = LimitEnded, float64(in.Limit.PerSecond), now.Sub(in.Limit.StatedAt).Milliseconds()
		if in.Limit.Limited {
			w.LimitState = LimitStated
		}
	}

	return w
}

// ToWireInstances converts roster reports to their wire form; see ToWireInstance.
func ToWireInstances(now time.Time, reports []roster.Report) []Instance {
	list := make([]Instance, 0, len(reports))
	for i := range reports {
		list = append(list, ToWireInstance(now, &reports[i].Instance, reports[i].Age))
	}

	return list
}

const (
	// minPackedInstances is the number of instances from which compression saves a network packet.
	minPackedInstances = 8
	// maxUnpackedBytes limits the size of decompressed instances. 500 instances, the most in one reply, take 70 KB.
	maxUnpackedBytes = 1 << 20
)

// ErrPacked is wrapped when compressed instances cannot be decompressed or decoded.
var ErrPacked = errors.New("compressed instances are corrupt")

// Pack moves the instances to Packed in compressed form, unless there are too few for a benefit. While a large system
// starts, instances are most of the traffic between nodes.
func (f *Followed) Pack() error {
	if len(f.Instances) < minPackedInstances {
		return nil
	}

	b, err := InstanceList(f.Instances).MarshalMsg(nil)
	if err != nil {
		return errors.Wrap(err, "compress instances")
	}

	f.Packed, f.Instances = s2.Encode(nil, b), nil

	return nil
}

// Unpack appends the instances in Packed, if any, to Instances and clears Packed. After an error f is unchanged.
func (f *Followed) Unpack() error {
	if len(f.Packed) == 0 {
		return nil
	}

	if n, err := s2.DecodedLen(f.Packed); err != nil || n > maxUnpackedBytes {
		return errors.Wrapf(ErrPacked, "%d bytes (%v)", n, err)
	}

	b, err := s2.Decode(nil, f.Packed)
	if err != nil {
		return errors.Wrapf(ErrPacked, "decompress: %v", err)
	}

	var list InstanceList

	rest, err := list.UnmarshalMsg(b)
	if err != nil || len(rest) > 0 {
		return errors.Wrapf(ErrPacked, "decode with %d bytes left: %v", len(rest), err)
	}

	f.Instances, f.Packed = append(f.Instances, list...), nil

	return nil
}

// ToWireRefreshes converts roster refreshes to their wire form.
func ToWireRefreshes(refreshes []roster.Refresh) []Refresh {
	list := make([]Refresh, 0, len(refreshes))
	for _, r := range refreshes {
		list = append(list, Refresh{Key: uint64(r.Key), Sequence: r.Sequence, AgeMillis: r.Age.Milliseconds(), Load: r.Load})
	}

	return list
}

// RosterRefreshes converts the received refreshes to the form of package roster. Negative ages become zero.
func (f *Followed) RosterRefreshes() []roster.Refresh {
	list := make([]roster.Refresh, 0, len(f.Refreshes))
	for _, r := range f.Refreshes {
		list = append(list, roster.Refresh{
			Key: roster.KeyHash(r.Key), Sequence: r.Sequence, Age: max(time.Duration(r.AgeMillis)*time.Millisecond, 0), Load: r.Load,
		})
	}

	return list
}

// ToWireRegionLoads adds up the loads of entry VMs by region, in the order of the names of the regions.
func ToWireRegionLoads(loads map[ident.FailureDomain]roster.EntryLoad, regions map[ident.FailureDomain]ident.Region) []RegionLoad {
	var list []RegionLoad

	for domain, l := range loads {
		i, found := slices.BinarySearchFunc(list, regions[domain], func(r RegionLoad, region ident.Region) int { return cmp.Compare(r.Region, region) })
		if !found {
			list = slices.Insert(list, i, RegionLoad{Region: regions[domain]})
		}

		list[i].VMs += l.VMs
		list[i].Load += l.Load
	}

	return list
}

// SetCursor requests the roster changes after c.
func (f *Follow) SetCursor(c *roster.Cursor) {
	f.RosterEpoch, f.RosterVersion = c.Epoch, c.Version
	for _, k := range c.Missing {
		f.Missing = append(f.Missing, uint64(k))
	}
}

// Cursor returns the position in the roster up to which the sender has received changes.
func (f *Follow) Cursor() roster.Cursor {
	c := roster.Cursor{Epoch: f.RosterEpoch, Version: f.RosterVersion}
	for _, k := range f.Missing {
		c.Missing = append(c.Missing, roster.KeyHash(k))
	}

	return c
}

// Instance converts a received instance to a roster entry and its age, the time since the last report of the instance. now
// is the time of receipt.
func (w *Instance) Instance(now time.Time) (roster.Instance, time.Duration) {
	in := roster.Instance{
		ID: roster.InstanceID(w.ID), Role: roster.Role(w.Role), Upstream: w.Upstream, Address: w.Address,
		FailureDomain: w.FailureDomain, Born: w.Born, Sequence: w.Sequence, State: roster.State(w.State),
		Capacity: w.Capacity, Disk: w.Disk, Load: w.Load, Links: roster.Links(w.Links), Version: ident.SoftwareVersion(w.Version),
	}
	if w.ColdMillis > 0 {
		in.ColdUntil = now.Add(time.Duration(w.ColdMillis) * time.Millisecond)
	}

	if w.LimitState != 0 {
		in.Limit = requestLimit(now, w.LimitState == LimitStated, w.LimitPerSecond, w.LimitAgeMillis)
	}

	return in, max(time.Duration(w.AgeMillis)*time.Millisecond, 0)
}

func requestLimit(now time.Time, limited bool, perSecond float64, ageMillis int64) roster.RequestLimit {
	return roster.RequestLimit{
		StatedAt: now.Add(-max(time.Duration(ageMillis)*time.Millisecond, 0)), Limited: limited, PerSecond: ident.RequestRate(perSecond),
	}
}

// Limit converts a received request limit to that of a roster entry. now is the time of receipt.
func (l *SearcherLimit) Limit(now time.Time) roster.RequestLimit {
	return requestLimit(now, l.Limited, l.PerSecond, l.AgeMillis)
}
