package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Fault is one thing that is wrong in a settings file.
type Fault struct {
	File     string
	Line     int // of the field, or of the object around it when it is absent; 0 when unknown
	Path     string
	Problem  string
	Accepted string
}

// String returns the fault in the form file:line: path: problem; accepted: range.
func (f Fault) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File + ":")
	}

	if f.Line > 0 {
		b.WriteString(strconv.Itoa(f.Line) + ":")
	}

	if b.Len() > 0 {
		b.WriteString(" ")
	}

	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}

	b.WriteString(f.Problem)

	if f.Accepted != "" {
		b.WriteString("; accepted: " + f.Accepted)
	}

	return b.String()
}

// Faults is the error of a settings file; it holds every fault.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}

	return fmt.Sprintf("%d fault(s) in the settings:\n%s", len(f), strings.Join(lines, "\n"))
}

type decoder struct {
	data   []byte
	faults Faults
	lines  map[string]int // line of each field that is present
}

// Parse reads and checks the content of a settings file.
func Parse(data []byte) (*Settings, error) {
	if len(data) > maxFileBytes {
		return nil, Faults{{Problem: fmt.Sprintf("%d bytes", len(data)), Accepted: fmt.Sprintf("at most %d bytes", maxFileBytes)}}
	}

	root, err := hujson.Parse(data)
	if err != nil {
		return nil, Faults{{Problem: strings.TrimPrefix(err.Error(), "hujson: "), Accepted: "JSON with comments and trailing commas"}}
	}

	d := &decoder{data: data, lines: map[string]int{}}
	s := &Settings{}

	fillDefaults(reflect.ValueOf(s).Elem())
	d.value(root, reflect.ValueOf(s).Elem(), "", rule{})
	d.absent(reflect.ValueOf(s).Elem(), "")
	d.check(s)

	if len(d.faults) > 0 {
		return nil, d.faults
	}

	return s, nil
}

// rule holds the tags of a field.
type rule struct {
	form, bounds, fallback, unit string
	need                         bool
}

func ruleOf(f reflect.StructField) rule {
	return rule{
		form: f.Tag.Get("form"), bounds: f.Tag.Get("range"), fallback: f.Tag.Get("default"),
		unit: f.Tag.Get("unit"), need: f.Tag.Get("need") == "yes",
	}
}

// limits reads the range tag, which is "low..high".
func (r rule) limits() (low, high int64, ok bool) {
	a, b, ok := strings.Cut(r.bounds, "..")
	if !ok {
		return 0, 0, false
	}

	low, errLow := strconv.ParseInt(a, 10, 64)
	high, errHigh := strconv.ParseInt(b, 10, 64)

	return low, high, errLow == nil && errHigh == nil
}

func (r rule) accepted() string {
	low, high, ok := r.limits()
	if !ok {
		return ""
	}

	text := fmt.Sprintf("%d to %d", low, high)
	if r.unit != "" {
		text += " " + r.unit
	}

	return text
}

func nameOf(f reflect.StructField) string { return f.Tag.Get("json") }

func join(path, name string) string {
	if path == "" {
		return name
	}

	return path + "." + name
}

func fillDefaults(v reflect.Value) {
	for i := range v.NumField() {
		f, r := v.Field(i), ruleOf(v.Type().Field(i))

		switch f.Kind() {
		case reflect.Struct:
			fillDefaults(f)
		case reflect.Int, reflect.Int64:
			n, err := strconv.ParseInt(r.fallback, 10, 64)
			if err != nil {
				panic("default of " + v.Type().Field(i).Name + ": " + err.Error())
			}

			f.SetInt(n)
		case reflect.String:
			f.SetString(r.fallback)
		default:
		}
	}
}

func (d *decoder) line(v hujson.Value) int {
	return 1 + bytes.Count(d.data[:min(v.StartOffset, len(d.data))], []byte{'\n'})
}

// lineOf returns the line of a field, or of the object around it when the field is absent.
func (d *decoder) lineOf(path string) int {
	for {
		if n, ok := d.lines[path]; ok || path == "" {
			return n
		}

		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

func (d *decoder) fault(line int, path, accepted, format string, args ...any) {
	d.faults = append(d.faults, Fault{Line: line, Path: path, Problem: fmt.Sprintf(format, args...), Accepted: accepted})
}

// value stores v in dst, and notes a fault when v is of another type or out of range.
func (d *decoder) value(v hujson.Value, dst reflect.Value, path string, r rule) {
	line := d.line(v)
	d.lines[path] = line

	switch dst.Kind() {
	case reflect.Struct:
		obj, ok := v.Value.(*hujson.Object)
		if !ok {
			d.fault(line, path, "an object", "%s is not an object", shown(v))

			return
		}

		d.object(obj, dst, path)
	case reflect.Slice:
		arr, ok := v.Value.(*hujson.Array)
		if !ok {
			d.fault(line, path, "a list", "%s is not a list", shown(v))

			return
		}

		d.list(arr, dst, path, r, line)
	case reflect.String:
		var text string
		if json.Unmarshal(literal(v), &text) != nil {
			d.fault(line, path, forms[r.form].accepted, "%s is not a string", shown(v))

			return
		}

		dst.SetString(text)

		if text != "" || r.need {
			if f, ok := forms[r.form]; ok && !f.valid(text) {
				d.fault(line, path, f.accepted, "%q is not valid", clip(text))
			}
		}
	case reflect.Bool:
		var b bool
		if json.Unmarshal(literal(v), &b) != nil {
			d.fault(line, path, "true or false", "%s is not a truth value", shown(v))

			return
		}

		dst.SetBool(b)
	default:
		var n int64
		if json.Unmarshal(literal(v), &n) != nil {
			d.fault(line, path, r.accepted(), "%s is not a whole number", shown(v))

			return
		}

		if low, high, ok := r.limits(); ok && (n < low || n > high) {
			d.fault(line, path, r.accepted(), "%d is out of range", n)

			return
		}

		dst.SetInt(n)
	}
}

func (d *decoder) object(obj *hujson.Object, dst reflect.Value, path string) {
	seen := map[string]bool{}

	for _, m := range obj.Members {
		var name string

		line := d.line(m.Name)
		if json.Unmarshal(literal(m.Name), &name) != nil {
			d.fault(line, path, "a string", "field name %s cannot be read", shown(m.Name))

			continue
		}

		at := join(path, clip(name))
		if seen[name] {
			d.fault(line, at, "each field once", "field is given twice")

			continue
		}

		seen[name] = true

		i := fieldIndex(dst.Type(), name)
		if i < 0 {
			d.fault(line, at, "", "unknown field")

			continue
		}

		d.value(m.Value, dst.Field(i), at, ruleOf(dst.Type().Field(i)))
	}
}

func fieldIndex(t reflect.Type, name string) int {
	for i := range t.NumField() {
		if nameOf(t.Field(i)) == name {
			return i
		}
	}

	return -1
}

func (d *decoder) list(arr *hujson.Array, dst reflect.Value, path string, r rule, line int) {
	n := int64(len(arr.Elements))
	if low, high, ok := r.limits(); ok && (n < low || n > high) {
		d.fault(line, path, r.accepted()+" elements", "%d elements", n)

		return
	}

	dst.Set(reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements)))

	for i, e := range arr.Elements {
		at := fmt.Sprintf("%s[%d]", path, i)
		d.value(e, dst.Index(i), at, rule{form: r.form, need: true})

		if dst.Index(i).Kind() == reflect.Struct {
			d.absent(dst.Index(i), at)
		}
	}
}

// absent notes the needed fields that the file does not give.
func (d *decoder) absent(v reflect.Value, path string) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		at := join(path, nameOf(f))

		if f.Type.Kind() == reflect.Struct {
			d.absent(v.Field(i), at)

			continue
		}

		r := ruleOf(f)
		if _, ok := d.lines[at]; ok || !r.need {
			continue
		}

		accepted := forms[r.form].accepted
		if f.Type.Kind() == reflect.Slice {
			accepted = r.accepted() + " elements"
		}

		d.fault(d.lineOf(at), at, accepted, "field is absent")
	}
}

func literal(v hujson.Value) []byte {
	if l, ok := v.Value.(hujson.Literal); ok {
		if l.Kind() == 'n' {
			return nil // null is no value of any field
		}

		return l
	}

	return nil
}

func shown(v hujson.Value) string {
	return clip(hujson.Value{Value: v.Value}.String())
}

// clip keeps reports short when a whole list stands where a name belongs.
func clip(text string) string {
	const most = 60
	if len(text) > most {
		return strings.ToValidUTF8(text[:most], "") + "..."
	}

	return text
}
