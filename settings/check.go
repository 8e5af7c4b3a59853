package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"
)

const (
	saltBytes = 16
	hashBytes = 32
)

// stringFormat defines the valid values of a string field.
type stringFormat struct {
	accepted string
	valid    func(string) bool
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

var stringFormats = map[string]stringFormat{
	"name": {
		accepted: "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit",
		valid:    namePattern.MatchString,
	},
	"address": {
		accepted: "an IP number and a port from 1 to 65535, as 192.0.2.1:7400 or [2001:db8::1]:7400",
		valid: func(s string) bool {
			a, err := netip.ParseAddrPort(s)

			return err == nil && a.Port() > 0
		},
	},
	"path": {
		accepted: "a file name of 1 to 4096 bytes",
		valid:    func(s string) bool { return s != "" && len(s) <= 4096 && !strings.ContainsRune(s, 0) },
	},
	"salt": {
		accepted: fmt.Sprintf("%d bytes or more, up to 64, in lower-case hexadecimal", saltBytes),
		valid:    func(s string) bool { return isHex(s, saltBytes, 64) },
	},
	"hash": {
		accepted: fmt.Sprintf("%d bytes in lower-case hexadecimal", hashBytes),
		valid:    func(s string) bool { return isHex(s, hashBytes, hashBytes) },
	},
	"level": {
		accepted: "trace, debug, info, warn or error",
		valid: func(s string) bool {
			switch s {
			case "trace", "debug", "info", "warn", "error":
				return true
			default:
				return false
			}
		},
	},
}

func isHex(s string, low, high int) bool {
	b, err := hex.DecodeString(s)

	return err == nil && len(b) >= low && len(b) <= high && s == strings.ToLower(s)
}

// checkRules reports violations of rules that span several fields, and fills in the advertised
// addresses that are absent.
func (d *decoder) checkRules(s *Settings) {
	d.checkAdvertised(s)
	d.checkVoters(s)
	d.checkOperators(s)
	d.checkTimings(s)
}

func (d *decoder) checkAdvertised(s *Settings) {
	pairs := []struct {
		path, from, listen string
		value              *string
	}{
		{path: "advertise_http", from: "http_address", listen: s.HTTPAddress, value: &s.AdvertiseHTTP},
		{path: "advertise_quic", from: "quic_address", listen: s.QUICAddress, value: &s.AdvertiseQUIC},
	}
	for _, p := range pairs {
		from := p.path
		if *p.value == "" {
			*p.value, from = p.listen, p.from
		}

		a, err := netip.ParseAddrPort(*p.value)
		if err == nil && a.Addr().IsUnspecified() {
			d.addError(d.lineOf(from), p.path, "an address that other nodes can connect to", "%s has an unspecified IP address", *p.value)
		}
	}
}

func (d *decoder) checkVoters(s *Settings) {
	nodes, addresses := map[string]bool{}, map[string]bool{}
	listed := false

	for i, v := range s.Voters {
		voterPath := fmt.Sprintf("voters[%d]", i)

		if v.Node != "" && nodes[string(v.Node)] {
			d.addError(d.lineOf(voterPath), voterPath+".node", "each voter once", "%q is listed twice", v.Node)
		}

		if v.QUICAddress != "" && addresses[v.QUICAddress] {
			d.addError(d.lineOf(voterPath), voterPath+".quic_address", "each address once", "%s is listed twice", v.QUICAddress)
		}

		nodes[string(v.Node)], addresses[v.QUICAddress] = true, true

		if v.Node != s.Node {
			continue
		}

		listed = true

		if v.QUICAddress != s.AdvertiseQUIC {
			d.addError(d.lineOf(voterPath), voterPath+".quic_address", "the advertise_quic address of this node",
				"%s differs from %s", v.QUICAddress, s.AdvertiseQUIC)
		}
	}

	switch {
	case len(s.Voters)%2 == 0 && len(s.Voters) > 0 && !s.Join:
		d.addError(d.lineOf("voters"), "voters", "1, 3, 5 or 7 voters", "%d voters", len(s.Voters))
	case s.Join && !s.IsVoter():
		d.addError(d.lineOf("join"), "join", "true only with data_folder", "a node without a data folder is not a voter")
	case s.IsVoter() && !listed && !s.Join:
		d.addError(d.lineOf("data_folder"), "data_folder", "absent, or this node listed in voters, or join true",
			"node %q has a data folder but is not in voters", s.Node)
	case !s.IsVoter() && listed:
		d.addError(d.lineOf("voters"), "data_folder", "a folder for a node in voters", "node %q is in voters but has no data folder", s.Node)
	}
}

func (d *decoder) checkOperators(s *Settings) {
	names := map[string]bool{}

	for i, k := range s.OperatorKeys {
		if names[k.Name] && k.Name != "" {
			keyPath := fmt.Sprintf("operator_keys[%d]", i)
			d.addError(d.lineOf(keyPath), keyPath+".name", "each name once", "%q is listed twice", k.Name)
		}

		names[k.Name] = true
	}
}

func (d *decoder) checkTimings(s *Settings) {
	if drain := s.Timings.DrainSeconds; drain.Duration() < s.Limits.MaxTimeoutMS.Duration() {
		d.addError(d.lineOf("timings.drain_seconds"), "timings.drain_seconds",
			"at least limits.max_timeout_ms, so that a shutdown interrupts no request", "%d is out of range", drain)
	}
}

// Field describes one field of the settings file.
type Field struct {
	Path     string // elements of a list are written as list[]
	Type     string
	Unit     string
	Default  string
	Accepted string
}

// Fields lists every field of the settings file in the order of its declaration.
func Fields() []Field { return fieldsOf(reflect.TypeFor[Settings](), "") }

func fieldsOf(t reflect.Type, path string) []Field {
	var fields []Field

	for i := range t.NumField() {
		f := t.Field(i)
		r, fieldPath := ruleOf(f), joinPath(path, jsonName(f))

		if f.Type.Kind() == reflect.Struct {
			fields = append(fields, fieldsOf(f.Type, fieldPath)...)

			continue
		}

		field := Field{Path: fieldPath, Unit: r.unit, Default: r.defaultValue, Accepted: stringFormats[r.format].accepted}
		if r.required {
			field.Default = "needed"
		}

		switch f.Type.Kind() {
		case reflect.Slice:
			field.Type, field.Accepted = "list", r.accepted()+" elements"
			fields = append(fields, field)

			if f.Type.Elem().Kind() == reflect.Struct {
				fields = append(fields, fieldsOf(f.Type.Elem(), fieldPath+"[]")...)
			}

			continue
		case reflect.String:
			field.Type = "string"
		case reflect.Bool:
			field.Type, field.Accepted = "true or false", "true or false"
		default:
			field.Type, field.Accepted = "whole number", strings.TrimSuffix(r.accepted(), " "+r.unit)
		}

		fields = append(fields, field)
	}

	return fields
}
