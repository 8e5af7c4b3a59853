package entry

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"fulmarfall/configuration"
	"fulmarfall/directory"
	"fulmarfall/ident"
	"fulmarfall/logs"
	"fulmarfall/metrics"
	"fulmarfall/query"
	"fulmarfall/wire"
)

// setTeams gives a node a configuration with teams, each with its name as its key.
func setTeams(n *Node, teams ...configuration.Team) {
	changeConfiguration(n, func(cfg *configuration.Configuration) {
		cfg.Teams, cfg.Keys = teams, nil
		for _, team := range teams {
			cfg.Keys = append(cfg.Keys, configuration.TeamKey{Key: configuration.Key(team.Name), Team: team.Name})
		}
	})
}

// confirm records an exchange with a connected control VM at a time.
func confirm(n *Node, at time.Time) { n.confirmedAt.Store(&at) }

func serveWithKey(n *Node, key string) Result {
	now := time.Now()

	return n.Serve(&Request{ID: "q", Method: "POST", Host: "h", Path: "/x", URI: "/x", Key: key, Arrived: now, Deadline: now.Add(5 * time.Second)})
}

// Guards against a key that is refused as unknown by a node that may have missed the configuration that adds it, and against
// known keys that are refused by such a node.
func TestUnknownKey(t *testing.T) {
	for name, tc := range map[string]struct {
		prepare func(n *Node)
		want    RefusalKind
	}{
		"just confirmed":                 {func(n *Node) { confirm(n, time.Now()) }, RefusedUnauthorized},
		"never confirmed":                {func(n *Node) { n.confirmedAt.Store(nil) }, RefusedNotRun},
		"confirmed some time ago":        {func(n *Node) { confirm(n, time.Now().Add(-confirmationPeriod-time.Millisecond)) }, RefusedNotRun},
		"suspended since":                {func(n *Node) { confirm(n, time.Now().Round(0).Add(-time.Hour)) }, RefusedNotRun},
		"peer has a newer configuration": {func(n *Node) { confirm(n, time.Now()); n.links.servedVersion.Store(9); isolate(n) }, RefusedNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			n := newServingNode(t, 1)
			setTeams(n, configuration.Team{Name: "a"})

			for _, key := range []string{"", "b"} {
				tc.prepare(n)

				early := n.CheckKey("h", "/x", key)
				got, ok := serveWithKey(n, key).(*Refused)

				if !ok || early == nil || got.Kind != tc.want || early.Kind != tc.want || (got.RetryAfter > 0) != (tc.want == RefusedNotRun) {
					t.Fatalf("key %q: %+v, before the body %+v, want kind %d", key, got, early, tc.want)
				}

				if name == "peer has a newer configuration" {
					return
				}
			}

			if early := n.CheckKey("h", "/x", "a"); early != nil {
				t.Errorf("known key refused before the body: %+v", early)
			}

			if refused, ok := serveWithKey(n, "a").(*Refused); ok {
				t.Errorf("known key refused: %+v", refused)
			}
		})
	}
}

// Guards against a node that takes its configuration for the newest although the control VM had no leader or more to send, or
// although it could not decode what it received.
func TestConfirmConfiguration(t *testing.T) {
	for name, tc := range map[string]struct {
		reply     wire.Followed
		undecoded bool
		want      bool
	}{
		"complete":                      {wire.Followed{Connected: true, StateIndex: 3}, false, true},
		"more to come":                  {wire.Followed{Connected: true, StateIndex: 4}, false, false},
		"no leader":                     {wire.Followed{StateIndex: 3}, false, false},
		"not decoded":                   {wire.Followed{Connected: true, StateIndex: 3}, true, false},
		"earlier build, nothing to say": {wire.Followed{Connected: true}, false, true},
		"earlier build, entries":        {wire.Followed{Connected: true, Entries: []wire.Entry{{Index: 3}}}, false, false},
		"earlier build, snapshot":       {wire.Followed{Connected: true, Snapshot: []byte("x")}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			vm := newFakeControlVM(t, true)
			vm.putConfiguration(t, 3, 1)

			n := newServingNode(t, 1)
			entries, _ := vm.state.CommandsSince(0)

			for _, e := range entries {
				n.state.Apply(e.Index, e.Data)
			}

			if tc.undecoded {
				setVersion(n, 9)
			}

			n.confirmConfiguration(time.Now(), &tc.reply)

			if got := n.confirmedAt.Load() != nil; got != tc.want {
				t.Errorf("confirmed %v, want %v; index %d", got, tc.want, n.state.AppliedIndex())
			}
		})
	}
}

// Guards against a searcher in a region that a team excludes, also when its regions change while a request runs or the request
// was planned for a team with other regions.
func TestTeamRegions(t *testing.T) {
	n := newServingNode(t, 1)
	here, elsewhere := configuration.Team{Name: "here", Regions: []ident.Region{"pwani"}}, configuration.Team{Name: "elsewhere", Regions: []ident.Region{"ziwa"}}
	setTeams(n, here, elsewhere, configuration.Team{Name: "anywhere"})

	v := n.view.Load()
	route := &v.configuration.Routes[0]

	for range 2 { // The second time from the cache.
		for name, want := range map[ident.TeamID]bool{"here": true, "elsewhere": false, "anywhere": true, "": true} {
			u := v.upstream(route, v.table.Team(name), "", n.cfg.Regions)
			if got := u.Snapshots[0].Shards[0].Replicas[0].Usable; got != want {
				t.Errorf("team %q may use the searcher: %v, want %v", name, got, want)
			}
		}
	}

	if _, ok := serveWithKey(n, "here").(*Merged); !ok {
		t.Errorf("a request of a team in this region is not answered")
	}

	if r, ok := serveWithKey(n, "elsewhere").(*Refused); !ok || r.Kind != RefusedNotRun {
		t.Errorf("a request of a team in another region is not refused as not run")
	}

	// The regions change while an attempt of a request waits for its connection.
	for name, tc := range map[string]struct {
		team ident.TeamID
		want failure
	}{
		"still allowed":  {"anywhere", failureNone},
		"not any more":   {"here", failureLeaving},
		"no team":        {"", failureNone},
		"team is gone":   {"other", failureNone},
		"allowed lately": {"elsewhere", failureNone},
	} {
		t.Run(name, func(t *testing.T) {
			a := &attempt{send: &query.Send{Searcher: "u0", Deadline: time.Now().Add(time.Second)}, configuration: v.configuration, team: tc.team}
			setTeams(n, configuration.Team{Name: "here", Regions: []ident.Region{"ziwa"}}, configuration.Team{Name: "elsewhere"}, configuration.Team{Name: "anywhere"})

			if got := n.checkBeforeSend(time.Now(), &Request{Host: "h", Path: "/x"}, a, n.pools.get("u0")); got != tc.want {
				t.Errorf("%q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against peers that receive the body of a request in a region that its route or its team excludes, by the configuration
// of its arrival or by the present one.
func TestTeamRegionsOfPeers(t *testing.T) {
	n := newServingNode(t, 1)
	n.adviser.Renew(directory.Advice{Version: 1, Domains: []directory.DomainAdvice{{FailureDomain: "dar"}}, Peers: []directory.Peer{{Node: "near", FailureDomain: "dar"}, {Node: "far", FailureDomain: "mwanza"}}})

	for name, tc := range map[string]struct {
		route, team, later []ident.Region
		want               []ident.NodeID
	}{
		"no regions":              {nil, nil, nil, []ident.NodeID{"near", "far"}},
		"route":                   {[]ident.Region{"pwani"}, nil, nil, []ident.NodeID{"near"}},
		"team":                    {nil, []ident.Region{""}, []ident.Region{""}, []ident.NodeID{"far"}},
		"both":                    {[]ident.Region{"pwani"}, []ident.Region{""}, nil, nil},
		"team, changed meanwhile": {nil, nil, []ident.Region{"pwani"}, []ident.NodeID{"near"}},
	} {
		t.Run(name, func(t *testing.T) {
			setTeams(n, configuration.Team{Name: "a", Regions: tc.later})

			s := &activeRequest{n: n, r: &Request{}, route: &configuration.Route{Regions: tc.route}, team: &configuration.Team{Name: "a", Regions: tc.team}}
			if diff := cmp.Diff(tc.want, n.peersFor(s.peerAllowed)); diff != "" {
				t.Errorf("peers differ (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a forwarded request that is served for no team or another one, that carries its key or loses its team on the
// way, and that is counted against the rate limit of a team whose peer does not know it.
func TestForwardedRequestKeepsItsTeam(t *testing.T) {
	a, b := configuration.Team{Name: "a", Regions: []ident.Region{"pwani"}}, configuration.Team{Name: "b"}

	for name, tc := range map[string]struct {
		peer   []configuration.Team
		domain ident.FailureDomain // of the peer
		served bool
	}{
		"peer knows the team":         {[]configuration.Team{b, a}, "dar", true},
		"peer does not know the team": {[]configuration.Team{b}, "dar", false},
		"peer has no teams":           {nil, "dar", false},
		"peer in another region":      {[]configuration.Team{a}, "mwanza", false},
	} {
		t.Run(name, func(t *testing.T) {
			n, peer := newServingNode(t, 2), newServingNode(t, 2)
			requireAllShards(n)
			requireAllShards(peer)
			setTeams(n, a)
			setTeams(peer, tc.peer...)
			confirm(n, time.Now())
			isolate(n)
			n.adviser.Renew(directory.Advice{Version: 1, Domains: []directory.DomainAdvice{{FailureDomain: "dar"}}, Peers: []directory.Peer{{Node: peer.cfg.Node, FailureDomain: tc.domain}}})

			res := serveWithKey(n, "a")
			if _, served := res.(*Merged); served != tc.served {
				t.Errorf("result %+v, want served %v", res, tc.served)
			}

			if r, ok := res.(*Refused); ok && (r.Kind != RefusedNotRun || r.RetryAfter <= 0) {
				t.Errorf("refusal %+v, want not run and a time to come back", r)
			}
		})
	}

	n := newServingNode(t, 1)
	setTeams(n, a)

	r := &Request{ID: "q", Host: "h", Path: "/x", Key: "a", Header: []byte("A: b\r\n")}
	v := n.view.Load()

	team, refused := n.authenticate(time.Now(), v, &v.configuration.Routes[0], r)
	if refused != nil {
		t.Fatalf("refused: %+v", refused)
	}

	m := (&activeRequest{n: n, r: r, route: &v.configuration.Routes[0], team: team}).forwardMessage(time.Now())
	if diff := cmp.Diff([]string{"a", "A: b\r\nX-Team: a\r\n"}, []string{string(m.Team), string(m.Header)}); diff != "" || r.Key != "" {
		t.Errorf("team and header of the message differ (-want +got):\n%s; key kept: %v", diff, r.Key != "")
	}

	got := forwardedRequest(context.Background(), time.Now(), m)
	if got.Team != "a" || got.Key != "" || !got.Forwarded {
		t.Errorf("the peer reads the team %q, want a", got.Team)
	}
}

// Guards against a peer that serves a request without a team although its route needs one, or that declines one that needs none:
// the node that sent it has an earlier configuration or an earlier build.
func TestPeerNeedsTeam(t *testing.T) {
	open := &configuration.Route{AuthExempt: true}

	for name, tc := range map[string]struct {
		teams []configuration.Team
		route *configuration.Route
		team  ident.TeamID
		want  bool
	}{
		"no teams, none in the message": {nil, &configuration.Route{}, "", true},
		"no teams, one in the message":  {nil, &configuration.Route{}, "a", false},
		"team is missing":               {[]configuration.Team{{Name: "a"}}, &configuration.Route{}, "", false},
		"team is missing, no route":     {[]configuration.Team{{Name: "a"}}, nil, "", false},
		"exempt route without a team":   {[]configuration.Team{{Name: "a"}}, open, "", true},
		"exempt route, unknown team":    {[]configuration.Team{{Name: "a"}}, open, "b", false},
		"known team":                    {[]configuration.Team{{Name: "a"}}, &configuration.Route{}, "a", true},
	} {
		t.Run(name, func(t *testing.T) {
			v := &view{table: configuration.NewTable(&configuration.Configuration{Teams: tc.teams})}
			if got := v.knowsTeam(tc.route, tc.team); got != tc.want {
				t.Errorf("served %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against a request that a peer runs for no team although the configuration has changed since the peer has accepted it, and
// a peer that does not decline such a request, so that no other one is asked.
func TestForwardedRequestOfUnknownTeam(t *testing.T) {
	n := newServingNode(t, 1)
	setTeams(n, configuration.Team{Name: "a"})

	f := &wire.Forward{Host: "h", Path: "/x", Version: 1, Team: "b"}
	if reason := n.declines(f); reason != ident.ReasonStaleNode {
		t.Errorf("declined for %q, want %q", reason, ident.ReasonStaleNode)
	}

	for _, team := range []ident.TeamID{"", "b"} {
		f.Team = team
		if r, ok := n.Serve(forwardedRequest(context.Background(), time.Now(), f)).(*Refused); !ok || r.Kind != RefusedNotRun || r.Reason != ident.ReasonStaleNode {
			t.Errorf("a request for team %q is not refused as not run", team)
		}
	}
}

// Guards against a request with the priority of its route although its team has one, also one of 0.
func TestTeamPriority(t *testing.T) {
	for name, tc := range map[string]struct {
		route int
		team  *configuration.Team
		want  ident.Class
	}{
		"no team":               {1, nil, ident.ClassNormal},
		"team without priority": {1, &configuration.Team{}, ident.ClassNormal},
		"more urgent":           {2, &configuration.Team{HasPriority: true}, ident.ClassUrgent},
		"less urgent":           {0, &configuration.Team{HasPriority: true, Priority: 2}, ident.ClassBatch},
		"beyond the classes":    {0, &configuration.Team{HasPriority: true, Priority: 9}, ident.ClassBatch},
		"below the classes":     {2, &configuration.Team{HasPriority: true, Priority: -1}, ident.ClassUrgent},
	} {
		t.Run(name, func(t *testing.T) {
			s := &activeRequest{n: newServingNode(t, 1), r: &Request{}, route: &configuration.Route{Priority: tc.route, Parts: []configuration.WeightedUpstream{{Upstream: "u0", Weight: 1}}}, team: tc.team}

			req, _ := s.request()
			if diff := cmp.Diff(tc.want, req.Class); diff != "" {
				t.Errorf("class differs (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against keys of a former configuration that are accepted, and teams of it that keep requests from running.
func TestKeyFollowsConfiguration(t *testing.T) {
	n := newServingNode(t, 1)
	confirm(n, time.Now())
	setTeams(n, configuration.Team{Name: "a"})

	for _, step := range []struct {
		teams          []configuration.Team
		a, b, anything bool
	}{
		{[]configuration.Team{{Name: "a"}}, true, false, false},
		{[]configuration.Team{{Name: "b"}}, false, true, false},
		{nil, true, true, true},
	} {
		setTeams(n, step.teams...)

		for key, want := range map[string]bool{"a": step.a, "b": step.b, "": step.anything} {
			confirm(n, time.Now())

			res := serveWithKey(n, key)
			if r, refused := res.(*Refused); refused == want || refused && r.Kind != RefusedUnauthorized {
				t.Errorf("teams %+v, key %q: %+v, want served %v", step.teams, key, res, want)
			}
		}
	}
}

// Guards against keys in log lines and metrics, and against requests whose team the log does not name.
func TestKeysAreNotLogged(t *testing.T) {
	const known, unknown = "s2eek22xp4zhpfd4n8hk", "caac6dnvhz6prvnzqjyn"

	n := newServingNode(t, 1)
	n.cancel()
	n.wg.Wait() // The loops use the logger, too.

	meters, closeMeters := metrics.New()

	var out bytes.Buffer

	logger, closeLog := logs.New(&out, "info", "test")
	n.logger, n.meters = logger, meters

	changeConfiguration(n, func(cfg *configuration.Configuration) {
		cfg.Teams = []configuration.Team{{Name: "kami770"}}
		cfg.Keys = []configuration.TeamKey{{Key: known, Team: "kami770"}}
	})
	confirm(n, time.Now())

	serveWithKey(n, known)
	serveWithKey(n, unknown)
	n.CheckKey("h", "/x", unknown)
	n.confirmedAt.Store(nil)
	serveWithKey(n, unknown)
	n.inFlight.Store(maxInFlight)
	serveWithKey(n, known)
	closeLog()

	text := out.String() + string(meters.Page())

	if err := closeMeters(); err != nil {
		t.Fatalf("close metrics: %v", err)
	}

	if strings.Contains(text, known) || strings.Contains(text, unknown) {
		t.Errorf("a key is logged:\n%s", text)
	}

	if got := strings.Count(text, `"team":"kami770"`); got != 2 {
		t.Errorf("the team is named in %d lines, want those of the answered and the refused request:\n%s", got, out.String())
	}

	if !strings.Contains(text, `"reason":"unauthenticated"`) {
		t.Errorf("the refusal of an unknown key is not logged:\n%s", out.String())
	}
}
