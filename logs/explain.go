package logs

// This file tells the way of one request from the logs of several processes.

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

// explainBefore is how long before its request a change of the roster can bear on it: reports of searchers travel for
// less, and an entry that was not heard of is dropped after 14 s.
const explainBefore = 15 * time.Second

// maxLine bounds a log line that is read.
const maxLine = 1 << 20

// Source is the log of one process.
type Source struct {
	Name string
	R    io.Reader
}

// Line is one log line that bears on a request.
type Line struct {
	At     time.Time
	Source string
	Text   string
	fields map[string]any
}

// Explain returns the lines that tell of a request, in the order of time: those that name it, what the process that served it
// had last heard of the searchers that it sent it to, and the searchers of the same shards that had asked it for no more
// requests, which is why it did not choose them, and what was found against equal requests before. Lines may have words before
// the JSON text, as some collectors add.
func Explain(request string, sources []Source) ([]Line, error) {
	var about, changes, evidence []Line

	for _, s := range sources {
		sc := bufio.NewScanner(s.R)
		sc.Buffer(make([]byte, 0, 4096), maxLine)

		for sc.Scan() {
			l, ok := parseLine(s.Name, sc.Text())

			switch {
			case !ok:
			case l.fields["request"] == request:
				about = append(about, l)
			case l.fields["instance"] != nil, isNotice(l):
				changes = append(changes, l)
			case isEvidence(l):
				evidence = append(evidence, l)
			}
		}

		if err := sc.Err(); err != nil {
			return nil, errors.Wrapf(err, "read %s", s.Name)
		}
	}

	if len(about) == 0 {
		return nil, fmt.Errorf("no line names request %q", request)
	}

	all := slices.Concat(about, bearingOn(about, changes), evidenceBefore(about, evidence))
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

	stamp, _ := l.fields["time"].(string)

	at, err := time.Parse(time.RFC3339Nano, stamp)
	l.At = at

	return l, err == nil
}

// isNotice reports whether a line tells that a searcher has asked for no more requests.
func isNotice(l Line) bool { return l.fields["searcher"] != nil && l.fields["upstream"] != nil }

// isEvidence reports whether a line tells what was found for or against requests with a fingerprint.
func isEvidence(l Line) bool { return l.fields["fingerprint"] != nil && l.fields["route"] == nil }

// evidenceBefore returns the lines of any process on the fingerprint of the request, up to its end.
func evidenceBefore(about, evidence []Line) (out []Line) {
	last := map[any]time.Time{} // by fingerprint

	for _, l := range about {
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

// bearingOn returns the last change before the request, and those during it, of each searcher that it was sent to or that
// belongs to one of its shards and wanted none, at the processes that name the request.
func bearingOn(about, changes []Line) []Line {
	searchers, shards, processes := map[any]bool{}, map[any]bool{}, map[any]bool{}
	first, last := about[0].At, about[0].At

	for _, l := range about {
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

	before := map[any]Line{}

	for _, l := range changes {
		id, bears := l.fields["instance"], searchers[l.fields["instance"]]
		if isNotice(l) {
			id, bears = fmt.Sprint("notice of ", l.fields["searcher"]), shards[l.fields["upstream"]]
		}

		switch {
		case !bears || !processes[l.fields["process"]] || l.At.Before(first.Add(-explainBefore)) || l.At.After(last):
		case l.At.Before(first):
			if old, ok := before[id]; !ok || l.At.After(old.At) {
				before[id] = l
			}
		default:
			out = append(out, l)
		}
	}

	for _, l := range before {
		out = append(out, l)
	}

	return out
}
