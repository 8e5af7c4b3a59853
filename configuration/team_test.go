package configuration

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"fulmarfall/ident"

	"github.com/google/go-cmp/cmp"
)

func configurationWithTeams() *Configuration {
	c := validConfiguration()
	c.Teams = []Team{{Name: "one", RatePerSecond: 48, Burst: 48}, {Name: "two", Priority: 2, HasPriority: true}, {Name: "keyless"}}
	c.Keys = []TeamKey{{Key: "key-1", Team: "one"}, {Key: "key-1b", Team: "one"}, {Key: "key-1", Team: "one"}, {Key: "key-2", Team: "two"}}

	return c
}

// Guards against teams that can't be told apart, or whose limits have no meaning, and against an error that shows a key.
func TestValidateTeams(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(c *Configuration)
		valid  bool
	}{
		"valid":                      {func(*Configuration) {}, true},
		"name in another alphabet":   {func(c *Configuration) { c.Teams[2].Name = "Primăria Cluj" }, true},
		"no name":                    {func(c *Configuration) { c.Teams[2].Name = "" }, false},
		"name defined twice":         {func(c *Configuration) { c.Teams[2].Name = "one" }, false},
		"name with a line end":       {func(c *Configuration) { c.Teams[2].Name = "a\r\nb" }, false},
		"name with a trailing space": {func(c *Configuration) { c.Teams[2].Name = "a " }, false},
		"negative rate":              {func(c *Configuration) { c.Teams[0].RatePerSecond = -1 }, false},
		"rate that is no number":     {func(c *Configuration) { c.Teams[0].RatePerSecond = math.NaN() }, false},
		"negative burst":             {func(c *Configuration) { c.Teams[0].Burst = -0.5 }, false},
		"empty key":                  {func(c *Configuration) { c.Keys[0].Key = "" }, false},
		"key of two teams":           {func(c *Configuration) { c.Keys[3].Key = "key-1" }, false},
		"key of an unknown team":     {func(c *Configuration) { c.Keys[3].Team = "three" }, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := configurationWithTeams()
			tc.change(c)

			err := c.Validate()
			if (err == nil) != tc.valid || err != nil && !errors.Is(err, ErrInvalid) {
				t.Errorf("error %v, want valid %v", err, tc.valid)
			}

			if err != nil && strings.Contains(err.Error(), "key-") {
				t.Errorf("error %q shows a key", err)
			}
		})
	}
}

// Guards against a key that finds another team than its own, or any team although it is not known.
func TestAuthenticate(t *testing.T) {
	table := NewTable(configurationWithTeams())

	for key, want := range map[string]ident.TeamID{"key-1": "one", "key-1b": "one", "key-2": "two", "": "", "key": "", "KEY-1": "", "one": "", "keyless": ""} {
		var got ident.TeamID
		if team := table.Authenticate(key); team != nil {
			got = team.Name
		}

		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("team of key %q differs (-want +got):\n%s", key, diff)
		}
	}

	if !table.RequiresKeys() || NewTable(validConfiguration()).RequiresKeys() {
		t.Errorf("keys are required without teams, or not required with them")
	}

	if team := table.Team("keyless"); team == nil || table.Team("") != nil || table.Team("three") != nil {
		t.Errorf("teams are not found by their names")
	}
}

// Guards against keys in log lines and error messages.
func TestKeyIsNotShown(t *testing.T) {
	c := configurationWithTeams()

	encoded, err := json.Marshal(c)
	if err != nil {
		t.Fatalf("encode: %v", err)
	}

	for _, text := range []string{
		fmt.Sprint(c.Keys), fmt.Sprintf("%+v", c), fmt.Sprintf("%#v", c.Keys), fmt.Sprintf("%s %q %x %v", c.Keys[0].Key, c.Keys[0].Key, c.Keys[0].Key, &c.Keys[0]),
		string(encoded),
	} {
		if strings.Contains(text, "key-1") || strings.Contains(text, fmt.Sprintf("%x", "key-1")) {
			t.Errorf("%q shows a key", text)
		}
	}
}

// Guards against a region that processes requests although the route or the team excludes it.
func TestTeamAllows(t *testing.T) {
	var none *Team

	for name, tc := range map[string]struct {
		team *Team
		want bool
	}{
		"no team":       {none, true},
		"no regions":    {&Team{}, true},
		"the region":    {&Team{Regions: []ident.Region{"a", "r"}}, true},
		"other regions": {&Team{Regions: []ident.Region{"a"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := tc.team.Allows("r"); got != tc.want {
				t.Errorf("allowed %v, want %v", got, tc.want)
			}
		})
	}
}
