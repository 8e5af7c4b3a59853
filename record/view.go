package record

import (
	"strings"

	"fulmarfall/ident"
)

type classSet uint8

func (s classSet) has(c ident.Class) bool { return s&(1<<c) != 0 }

// Grant is the set of classes and limits that an approval gives a team at an upstream.
type Grant struct {
	classes       classSet
	RatePerSecond uint32
	Burst         uint32
	Weight        uint32
	Revision      ident.Revision
}

// Allows reports whether the team may send requests of a class.
func (g Grant) Allows(c ident.Class) bool { return g.classes.has(c) }

// TeamByKey returns the team that a bearer key belongs to. A key of the form "team.secret" is
// compared with that team's keys first, which avoids a scan of all teams if it matches.
func (s *Store) TeamByKey(key string) (ident.TeamID, bool) {
	if name, _, ok := strings.Cut(key, "."); ok && s.teamHasKey(ident.TeamID(name), key) {
		return ident.TeamID(name), true
	}
	for _, id := range s.teams {
		if s.teamHasKey(id, key) {
			return id, true
		}
	}

	return "", false
}

func (s *Store) teamHasKey(id ident.TeamID, key string) bool {
	t, ok := specOf[*CallingTeamV1](s, KindCallingTeam, string(id))
	return ok && anyMatches(t.Keys, key)
}

// HasTeam reports whether a calling team has a record that is not withdrawn and that this program
// can decode.
func (s *Store) HasTeam(id ident.TeamID) bool {
	_, ok := specOf[*CallingTeamV1](s, KindCallingTeam, string(id))
	return ok
}

// Approval returns the grant of a team at an upstream. An approval has no effect without a record of
// the team and of the upstream.
func (s *Store) Approval(t ident.TeamID, u ident.UpstreamID) (Grant, bool) {
	name := ApprovalName(u, t)
	a, ok := specOf[*ApprovalV2](s, KindApproval, name)
	if !ok || !s.HasTeam(t) {
		return Grant{}, false
	}
	if _, ok := s.Upstream(u); !ok {
		return Grant{}, false
	}
	g := Grant{
		RatePerSecond: a.RatePerSecond, Burst: a.Burst, Weight: a.Weight,
		Revision: s.entries[Key{KindApproval, name}].rec.Revision,
	}
	for _, text := range a.Classes {
		if c, err := ident.ParseClass(text); err == nil {
			g.classes |= 1 << c
		}
	}

	return g, true
}

// Upstream returns the spec of an upstream. The caller must not modify it.
func (s *Store) Upstream(u ident.UpstreamID) (*UpstreamV1, bool) {
	return specOf[*UpstreamV1](s, KindUpstream, string(u))
}

// AnnounceKeyValid reports whether a key authorises announcements of searchers of an upstream.
func (s *Store) AnnounceKeyValid(u ident.UpstreamID, key string) bool {
	up, ok := s.Upstream(u)
	return ok && up.AcceptsKey(key)
}

// InService reports whether a failure domain accepts requests. A domain whose record is absent or
// withdrawn is in service; a domain whose record this program cannot decode is not.
func (s *Store) InService(d ident.FailureDomain) bool {
	e, ok := s.entries[Key{KindFailureDomain, string(d)}]
	if !ok || e.rec.Withdrawn {
		return true
	}
	f, ok := e.spec.(*FailureDomainV1)

	return ok && f.InService
}

// Setting returns the value of a setting, or false if it has no record that this program can decode.
func (s *Store) Setting(name Setting) (int64, bool) {
	v, ok := specOf[*SettingV1](s, KindSetting, string(name))
	if !ok {
		return 0, false
	}

	return v.Value, true
}

func specOf[T Spec](s *Store, k Kind, name string) (T, bool) {
	var zero T
	e, ok := s.entries[Key{k, name}]
	if !ok {
		return zero, false
	}
	spec, ok := e.spec.(T)

	return spec, ok
}
