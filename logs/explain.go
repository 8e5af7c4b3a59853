package logs

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// relevantChangeAge bounds how old a roster change may be to have influenced a request. Reports of searchers propagate
// faster than that, and a roster entry without reports expires after 14 s.
const relevantChangeAge = 15 * time.Second

// maxLineBytes bounds a log line; a longer one makes Explain fail.
const maxLineBytes = 1 << 20

// Source is the log of one process.
type Source struct {
	Name string
	R    io.Reader
}

// Line is one log line that is relevant to a request.
type Line struct {
	At     time.Time
	Source string
	Text   string
	fields map[string]any
}

// Explain returns the lines that explain how a request was handled, in chronological order: the lines that name it; the
// last roster changes, at the processes that handled it, of the searchers that it was sent to; notices from searchers of
// the same shards that asked for no more requests and so were not chosen; the request limits of searchers if it found no room
// under some; the state of the links to searchers of the processes that handled it, if they were not up; and earlier crash
// evidence on requests with the same fingerprint. Text before the JSON object of a line, which some log collectors add, is ignored.
func Explain(request string, sources []Source) ([]Line, error) {
	var requestLines, stateChanges, limits, links, evidence []Line

	for _, s := range sources {
		sc := bufio.NewScanner(s.R)
		sc.Buffer(make([]byte, 0, 4096), maxLineBytes)

		for sc.Scan() {
			l, ok := parseLine(s.Name, sc.Text())

			switch {
			case !ok:
			case l.fields["request"] == request:
				requestLines = append(requestLines, l)
			case l.fields["links"] != nil && l.fields["instance"] == nil:
				links = append(links, l)
			case isLimit(l):
				limits = append(limits, l)
			case l.fields["instance"] != nil, isNotice(l):
				stateChanges = append(stateChanges, l)
			case isEvidence(l):
				evidence = append(evidence, l)
			}
		}

		if err := sc.Err(); err != nil {
			return nil, errors.Wrapf(err, "read %s", s.Name)
		}
	}

	if len(requestLines) == 0 {
		return nil, fmt.Errorf("request %q not found in the logs", request)
	}

	all := slices.Concat(requestLines, relevantChanges(requestLines, stateChanges), limitsInForce(requestLines, limits),
		linksDuring(requestLines, links), evidenceBefore(requestLines, evidence))
	slices.SortStableFunc(all, func(a, b Line) int { return cmp.Or(a.At.Compare(b.At), strings.Compare(a.Source, b.Source)) })

	return all, nil
}

func parseLine(source, text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}

	l := Line{Source: source, Text: text[start:], fields: map[string]any{}}
	if err := json.Unmarshal([]byte(l.Text), &l.fields); err != nil {
		return Line{}, false
	}

	timestamp, _ := l.fields["time"].(string)

	at, err := time.Parse(time.RFC3339Nano, timestamp)
	l.At = at

	return l, err == nil
}

// isNotice reports whether a line records that a searcher asked for no more requests.
func isNotice(l Line) bool { return l.fields["searcher"] != nil && l.fields["upstream"] != nil }

// isLimit reports whether a line of an entry VM records that the request limit of a searcher has changed.
func isLimit(l Line) bool { return isNotice(l) && l.fields["limited"] != nil }

// limitsInForce returns, if the request found no room under request limits, the last change of each limit that was in force at
// the process before the end of the request. A limit holds until it changes, however old the line is.
func limitsInForce(requestLines, limits []Line) (out []Line) {
	ends := map[any]time.Time{} // by process

	for _, l := range requestLines {
		if n, ok := l.fields["without_room"].(float64); ok && n > 0 {
			ends[l.fields["process"]] = l.At
		}
	}

	type key struct{ process, searcher any }

	last := map[key]Line{}

	for _, l := range limits {
		if end, ok := ends[l.fields["process"]]; ok && !l.At.After(end) {
			last[key{l.fields["process"], l.fields["searcher"]}] = l
		}
	}

	for _, l := range last {
		if l.fields["limited"] == true {
			out = append(out, l)
		}
	}

	return out
}

// linksDuring returns the changes of the links of the processes that handled the request: those during it, and the last one
// before it unless the links were up then.
func linksDuring(requestLines, links []Line) (out []Line) {
	type span struct{ first, last time.Time }

	spans := map[any]span{} // by process

	for _, l := range requestLines {
		p := l.fields["process"]

		s, ok := spans[p]
		if !ok || l.At.Before(s.first) {
			s.first = l.At
		}

		if l.At.After(s.last) {
			s.last = l.At
		}

		spans[p] = s
	}

	before := map[any]Line{}

	for _, l := range links {
		p := l.fields["process"]

		switch s, ok := spans[p]; {
		case !ok || l.At.After(s.last):
		case l.At.After(s.first):
			out = append(out, l)
		default:
			before[p] = l
		}
	}

	for _, l := range before {
		if l.fields["links"] != "up" {
			out = append(out, l)
		}
	}

	return out
}

// isEvidence reports whether a line records evidence that requests with a fingerprint crash searchers, or do not.
func isEvidence(l Line) bool { return l.fields["fingerprint"] != nil && l.fields["route"] == nil }

// evidenceBefore returns the evidence of all processes on the fingerprint of the request, up to the end of the request.
func evidenceBefore(requestLines, evidence []Line) (out []Line) {
	last := map[any]time.Time{} // by fingerprint

	for _, l := range requestLines {
		if f := l.fields["fingerprint"]; f != nil && l.At.After(last[f]) {
			last[f] = l.At
		}
	}

	for _, l := range evidence {
		if end, ok := last[l.fields["fingerprint"]]; ok && !l.At.After(end) {
			out = append(out, l)
		}
	}

	return out
}

// relevantChanges returns, for each searcher that the request was sent to, the last change before the request and all changes
// during it; likewise for the notices of searchers of its shards. Only lines of processes that handled the request count.
func relevantChanges(requestLines, stateChanges []Line) []Line {
	searchers, shards, processes := map[any]bool{}, map[any]bool{}, map[any]bool{}
	first, last := requestLines[0].At, requestLines[0].At

	for _, l := range requestLines {
		if id := l.fields["searcher"]; id != nil {
			searchers[id] = true
		}

		if id := l.fields["shard"]; id != nil {
			shards[id] = true
		}

		processes[l.fields["process"]] = true

		if l.At.Before(first) {
			first = l.At
		}

		if l.At.After(last) {
			last = l.At
		}
	}

	var out []Line

	lastBefore := map[any]Line{}

	for _, l := range stateChanges {
		id, relevant := l.fields["instance"], searchers[l.fields["instance"]]
		if isNotice(l) {
			id, relevant = fmt.Sprint("notice of ", l.fields["searcher"]), shards[l.fields["upstream"]]
		}

		switch {
		case !relevant || !processes[l.fields["process"]] || l.At.Before(first.Add(-relevantChangeAge)) || l.At.After(last):
		case l.At.Before(first):
			if previous, ok := lastBefore[id]; !ok || l.At.After(previous.At) {
				lastBefore[id] = l
			}
		default:
			out = append(out, l)
		}
	}

	for _, l := range lastBefore {
		out = append(out, l)
	}

	return out
}
