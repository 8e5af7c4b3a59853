package configuration

import (
	"fmt"
	"slices"
	"strings"

	"fulmarfall/ident"

	"github.com/go-faster/errors"
)

// Team is a calling team. Its keys are in Configuration.Keys, so that a Team may be logged.
type Team struct {
	Name ident.TeamID
	// Priority takes precedence over that of a route if HasPriority is set; 0 is the highest priority.
	Priority    int
	HasPriority bool
	// RatePerSecond and Burst limit the requests of the team at all entry VMs together; a rate of 0 means no limit.
	RatePerSecond, Burst float64
	// Regions are the regions that may process requests of the team; empty means all.
	Regions []ident.Region
}

// Allows reports whether a region may process requests of the team. A nil Team, that of requests without a team, is allowed
// everywhere.
func (t *Team) Allows(region ident.Region) bool {
	return t == nil || len(t.Regions) == 0 || slices.Contains(t.Regions, region)
}

// Key authenticates the requests of a team. It is formatted as a placeholder, so that it appears in no log line and no error.
type Key string

// Format implements fmt.Formatter for all verbs.
func (Key) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte("(key)")) }

// MarshalText implements encoding.TextMarshaler.
func (Key) MarshalText() ([]byte, error) { return []byte("(key)"), nil }

// TeamKey is one of the keys of a team.
type TeamKey struct {
	Key  Key
	Team ident.TeamID
}

// RequiresKeys reports whether requests need the key of a team, except on routes with AuthExempt.
func (c *Configuration) RequiresKeys() bool { return len(c.Teams) > 0 }

func (c *Configuration) validateTeams() error {
	teams := make(map[ident.TeamID]bool, len(c.Teams))

	for i := range c.Teams {
		t := &c.Teams[i]

		switch {
		case t.Name == "":
			return errors.Wrapf(ErrInvalid, "team %d has no name", i+1)
		case !validName(t.Name):
			return errors.Wrapf(ErrInvalid, "name of team %q begins or ends with a space, or contains a control character", t.Name)
		case teams[t.Name]:
			return errors.Wrapf(ErrInvalid, "team %q is defined twice", t.Name)
		case !(t.RatePerSecond >= 0):
			return errors.Wrapf(ErrInvalid, "rate of team %q is negative", t.Name)
		case !(t.Burst >= 0):
			return errors.Wrapf(ErrInvalid, "burst of team %q is negative", t.Name)
		}

		teams[t.Name] = true
	}

	owners := make(map[Key]ident.TeamID, len(c.Keys))

	for _, k := range c.Keys {
		owner, ok := owners[k.Key]

		switch {
		case k.Key == "":
			return errors.Wrapf(ErrInvalid, "team %q has an empty key", k.Team)
		case !teams[k.Team]:
			return errors.Wrapf(ErrInvalid, "a key belongs to team %q, which is not defined", k.Team)
		case ok && owner != k.Team:
			return errors.Wrapf(ErrInvalid, "teams %q and %q share a key", owner, k.Team)
		}

		owners[k.Key] = k.Team
	}

	return nil
}

// validName reports whether searchers can receive the name of a team unchanged in a header field.
func validName(name ident.TeamID) bool {
	const firstPrintable, del = 0x20, 0x7f

	return strings.TrimSpace(string(name)) == string(name) &&
		!strings.ContainsFunc(string(name), func(r rune) bool { return r < firstPrintable || r == del })
}

// teamIndex finds teams by key and by name.
type teamIndex struct {
	byKey  map[Key]*Team
	byName map[ident.TeamID]*Team
}

func newTeamIndex(c *Configuration) teamIndex {
	x := teamIndex{byKey: make(map[Key]*Team, len(c.Keys)), byName: make(map[ident.TeamID]*Team, len(c.Teams))}
	for i := range c.Teams {
		x.byName[c.Teams[i].Name] = &c.Teams[i]
	}

	for _, k := range c.Keys {
		x.byKey[k.Key] = x.byName[k.Team]
	}

	return x
}

// RequiresKeys reports whether requests need the key of a team, except on routes with AuthExempt.
func (t *Table) RequiresKeys() bool { return len(t.teams.byName) > 0 }

// Authenticate returns the team with the key, or nil.
func (t *Table) Authenticate(key string) *Team { return t.teams.byKey[Key(key)] }

// Team returns the team with the name, or nil.
func (t *Table) Team(name ident.TeamID) *Team { return t.teams.byName[name] }
