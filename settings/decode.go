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

// FieldError describes an error in one field of a settings file.
type FieldError struct {
	File     string
	Line     int // of the field, or of the enclosing object if the field is absent; 0 if unknown
	Path     string
	Problem  string
	Accepted string
}

// String formats the error as file:line: path: problem; accepted: range.
func (f FieldError) String() string {
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

// FieldErrors contains every error that was found in a settings file.
type FieldErrors []FieldError

// Error returns the number of errors, followed by one line for each.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].String()
	}

	return fmt.Sprintf("%d error(s) in the settings:\n%s", len(f), strings.Join(lines, "\n"))
}

type decoder struct {
	data  []byte
	errs  FieldErrors
	lines map[string]int // line of each field that is present
}

// Parse decodes and validates the content of a settings file.
func Parse(data []byte) (*Settings, error) {
	if len(data) > maxFileBytes {
		return nil, FieldErrors{{Problem: fmt.Sprintf("file has %d bytes", len(data)), Accepted: fmt.Sprintf("at most %d bytes", maxFileBytes)}}
	}

	root, err := hujson.Parse(data)
	if err != nil {
		return nil, FieldErrors{{Problem: strings.TrimPrefix(err.Error(), "hujson: "), Accepted: "JSON with comments and trailing commas"}}
	}

	d := &decoder{data: data, lines: map[string]int{}}
	s := &Settings{}

	fillDefaults(reflect.ValueOf(s).Elem())
	d.decodeValue(root, reflect.ValueOf(s).Elem(), "", rule{})
	d.checkRequired(reflect.ValueOf(s).Elem(), "")
	d.checkRules(s)

	if len(d.errs) > 0 {
		return nil, d.errs
	}

	return s, nil
}

// rule contains the validation rules in the struct tags of a field.
type rule struct {
	format, bounds, defaultValue, unit string
	required                           bool
}

func ruleOf(f reflect.StructField) rule {
	return rule{
		format: f.Tag.Get("form"), bounds: f.Tag.Get("range"), defaultValue: f.Tag.Get("default"),
		unit: f.Tag.Get("unit"), required: f.Tag.Get("need") == "yes",
	}
}

// parseRange parses the range tag, which has the form "low..high".
func (r rule) parseRange() (low, high int64, ok bool) {
	a, b, ok := strings.Cut(r.bounds, "..")
	if !ok {
		return 0, 0, false
	}

	low, errLow := strconv.ParseInt(a, 10, 64)
	high, errHigh := strconv.ParseInt(b, 10, 64)

	return low, high, errLow == nil && errHigh == nil
}

func (r rule) accepted() string {
	low, high, ok := r.parseRange()
	if !ok {
		return ""
	}

	text := fmt.Sprintf("%d to %d", low, high)
	if r.unit != "" {
		text += " " + r.unit
	}

	return text
}

func jsonName(f reflect.StructField) string { return f.Tag.Get("json") }

func joinPath(path, name string) string {
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
			n, err := strconv.ParseInt(r.defaultValue, 10, 64)
			if err != nil {
				panic("invalid default of " + v.Type().Field(i).Name + ": " + err.Error())
			}

			f.SetInt(n)
		case reflect.String:
			f.SetString(r.defaultValue)
		default:
		}
	}
}

func (d *decoder) line(v hujson.Value) int {
	return 1 + bytes.Count(d.data[:min(v.StartOffset, len(d.data))], []byte{'\n'})
}

// lineOf returns the line of a field, or of the enclosing object if the field is absent.
func (d *decoder) lineOf(path string) int {
	for {
		if n, ok := d.lines[path]; ok || path == "" {
			return n
		}

		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

func (d *decoder) addError(line int, path, accepted, format string, args ...any) {
	d.errs = append(d.errs, FieldError{Line: line, Path: path, Problem: fmt.Sprintf(format, args...), Accepted: accepted})
}

// decodeValue decodes v into dst, and records an error if v has another type or is invalid.
func (d *decoder) decodeValue(v hujson.Value, dst reflect.Value, path string, r rule) {
	line := d.line(v)
	d.lines[path] = line

	switch dst.Kind() {
	case reflect.Struct:
		obj, ok := v.Value.(*hujson.Object)
		if !ok {
			d.addError(line, path, "an object", "%s is not an object", displayText(v))

			return
		}

		d.decodeObject(obj, dst, path)
	case reflect.Slice:
		arr, ok := v.Value.(*hujson.Array)
		if !ok {
			d.addError(line, path, "a list", "%s is not a list", displayText(v))

			return
		}

		d.decodeList(arr, dst, path, r, line)
	case reflect.String:
		var text string
		if json.Unmarshal(literal(v), &text) != nil {
			d.addError(line, path, stringFormats[r.format].accepted, "%s is not a string", displayText(v))

			return
		}

		dst.SetString(text)

		if text != "" || r.required {
			if f, ok := stringFormats[r.format]; ok && !f.valid(text) {
				d.addError(line, path, f.accepted, "%q is not valid", truncate(text))
			}
		}
	case reflect.Bool:
		var b bool
		if json.Unmarshal(literal(v), &b) != nil {
			d.addError(line, path, "true or false", "%s is not a boolean", displayText(v))

			return
		}

		dst.SetBool(b)
	default:
		var n int64
		if json.Unmarshal(literal(v), &n) != nil {
			d.addError(line, path, r.accepted(), "%s is not a whole number", displayText(v))

			return
		}

		if low, high, ok := r.parseRange(); ok && (n < low || n > high) {
			d.addError(line, path, r.accepted(), "%d is out of range", n)

			return
		}

		dst.SetInt(n)
	}
}

func (d *decoder) decodeObject(obj *hujson.Object, dst reflect.Value, path string) {
	seen := map[string]bool{}

	for _, m := range obj.Members {
		var name string

		line := d.line(m.Name)
		if json.Unmarshal(literal(m.Name), &name) != nil {
			d.addError(line, path, "a string", "field name %s is not a string", displayText(m.Name))

			continue
		}

		fieldPath := joinPath(path, truncate(name))
		if seen[name] {
			d.addError(line, fieldPath, "each field once", "field is given twice")

			continue
		}

		seen[name] = true

		i := fieldIndex(dst.Type(), name)
		if i < 0 {
			d.addError(line, fieldPath, "", "unknown field")

			continue
		}

		d.decodeValue(m.Value, dst.Field(i), fieldPath, ruleOf(dst.Type().Field(i)))
	}
}

func fieldIndex(t reflect.Type, name string) int {
	for i := range t.NumField() {
		if jsonName(t.Field(i)) == name {
			return i
		}
	}

	return -1
}

func (d *decoder) decodeList(arr *hujson.Array, dst reflect.Value, path string, r rule, line int) {
	n := int64(len(arr.Elements))
	if low, high, ok := r.parseRange(); ok && (n < low || n > high) {
		d.addError(line, path, r.accepted()+" elements", "%d elements", n)

		return
	}

	dst.Set(reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements)))

	for i, e := range arr.Elements {
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		d.decodeValue(e, dst.Index(i), elementPath, rule{format: r.format, required: true})

		if dst.Index(i).Kind() == reflect.Struct {
			d.checkRequired(dst.Index(i), elementPath)
		}
	}
}

// checkRequired records an error for each required field that the file does not contain.
func (d *decoder) checkRequired(v reflect.Value, path string) {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		fieldPath := joinPath(path, jsonName(f))

		if f.Type.Kind() == reflect.Struct {
			d.checkRequired(v.Field(i), fieldPath)

			continue
		}

		r := ruleOf(f)
		if _, ok := d.lines[fieldPath]; ok || !r.required {
			continue
		}

		accepted := stringFormats[r.format].accepted
		if f.Type.Kind() == reflect.Slice {
			accepted = r.accepted() + " elements"
		}

		d.addError(d.lineOf(fieldPath), fieldPath, accepted, "field is absent")
	}
}

func literal(v hujson.Value) []byte {
	if l, ok := v.Value.(hujson.Literal); ok {
		if l.Kind() == 'n' {
			return nil // no field accepts null
		}

		return l
	}

	return nil
}

func displayText(v hujson.Value) string {
	return truncate(hujson.Value{Value: v.Value}.String())
}

// truncate limits the length of values in error messages, such as a whole list in place of a name.
func truncate(text string) string {
	const maxBytes = 60
	if len(text) > maxBytes {
		return strings.ToValidUTF8(text[:maxBytes], "") + "..."
	}

	return text
}
