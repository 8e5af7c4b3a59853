package rollout

import (
	"slices"

	"fulmarfall/ident"
)

// Announced is a searcher of an upstream that is ready or leaving.
type Announced struct {
	Version ident.SoftwareVersion
	Born    uint64 // start time
	Leaving bool
}

// CurrentVersions returns the versions of an upstream that count as current, in ascending order. o is the latest order of
// the upstream, or nil. replaced is set if the searchers of the current version were seen to drain before, as they do when
// an ordinary release replaces them one by one; the second result is its new value.
func CurrentVersions(o *Order, searchers []Announced, replaced bool) ([]ident.SoftwareVersion, bool) {
	base, barred := baseVersions(o, searchers)
	if o != nil && o.Stage.Running() {
		return base, false
	}

	all := slices.Clone(base)

	for _, s := range searchers {
		_, current := slices.BinarySearch(base, s.Version)

		switch {
		case current && s.Leaving:
			replaced = true
		case !current && !s.Leaving && !barred(s.Version):
			all = append(all, s.Version)
		}
	}

	slices.Sort(all)
	all = slices.Compact(all)

	if len(all) == len(base) {
		return base, false // no other version is announced, so no replacement is under way
	}

	if replaced {
		return all, true
	}

	return base, false
}

// baseVersions returns the versions that are current according to the order or, without one, that of the searcher that has
// run longest; and which versions are never added to them.
func baseVersions(o *Order, searchers []Announced) (base []ident.SoftwareVersion, barred func(ident.SoftwareVersion) bool) {
	switch {
	case o != nil && (o.Stage == StageAll || o.Stage == StageCompleted):
		return []ident.SoftwareVersion{o.Target}, o.IsCurrent
	case o != nil:
		return o.Current, func(v ident.SoftwareVersion) bool { return v == o.Target }
	}

	var oldest *Announced

	for i := range searchers {
		if oldest == nil || searchers[i].Born < oldest.Born {
			oldest = &searchers[i]
		}
	}

	if oldest != nil {
		base = []ident.SoftwareVersion{oldest.Version}
	}

	return base, func(ident.SoftwareVersion) bool { return false }
}

// VersionsToReplace returns the versions that serve an upstream when a roll-out of target is ordered. previous is the latest
// order for it, or nil.
func VersionsToReplace(previous *Order, searchers []Announced, target ident.SoftwareVersion) []ident.SoftwareVersion {
	current, _ := CurrentVersions(previous, searchers, false)
	announced := map[ident.SoftwareVersion]bool{}

	for _, s := range searchers {
		announced[s.Version] = s.Version != target
	}

	list := slices.DeleteFunc(slices.Clone(current), func(v ident.SoftwareVersion) bool { return !announced[v] })
	if len(list) > 0 {
		return list
	}

	for v, other := range announced {
		if other {
			list = append(list, v)
		}
	}

	slices.Sort(list)

	return list
}
