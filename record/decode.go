package record

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// maxDepth limits the nesting of a document, and thereby the recursion of the decoder.
const maxDepth = 32

// FieldError describes an invalid field of a JSON document.
type FieldError struct {
	// Path is the path of the field, for example "classes[1]"; it is empty for the document itself.
	Path string
	Text string
}

func (e *FieldError) Error() string {
	if e.Path == "" {
		return e.Text
	}

	return e.Path + ": " + e.Text
}

func fieldErrorf(path, format string, args ...any) error {
	return &FieldError{Path: path, Text: fmt.Sprintf(format, args...)}
}

// DecodeStrict decodes a JSON document into the struct that dst points to. A field is required
// unless its json tag has omitempty. Unknown, duplicate, missing and null fields, numbers out of
// range and trailing data are rejected with a *FieldError. Field names are case-sensitive. A field
// of type json.RawMessage accepts any value and keeps its bytes.
func DecodeStrict(data []byte, dst any) error {
	v := reflect.ValueOf(dst)
	if v.Kind() != reflect.Pointer || v.Elem().Kind() != reflect.Struct {
		return fmt.Errorf("decode into %T: not a pointer to a struct", dst)
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := decodeValue(dec, "", v.Elem(), 0); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return fieldErrorf("", "data after the end of the document")
	}

	return nil
}

func decodeValue(dec *json.Decoder, path string, v reflect.Value, depth int) error {
	if depth > maxDepth {
		return fieldErrorf(path, "is nested too deeply")
	}
	if raw, ok := v.Addr().Interface().(*json.RawMessage); ok {
		if err := dec.Decode(raw); err != nil {
			return fieldErrorf(path, "is not valid JSON: %v", err)
		}

		return nil
	}
	tok, err := dec.Token()
	if err != nil {
		return fieldErrorf(path, "is not valid JSON: %v", err)
	}
	switch v.Kind() {
	case reflect.Pointer:
		return fieldErrorf(path, "has a type that cannot be decoded")
	case reflect.Struct:
		if tok != json.Delim('{') {
			return fieldErrorf(path, "must be an object")
		}

		return decodeObject(dec, path, v, depth)
	case reflect.Slice:
		if tok != json.Delim('[') {
			return fieldErrorf(path, "must be an array")
		}

		return decodeArray(dec, path, v, depth)
	default:
		return setScalar(path, v, tok)
	}
}

func decodeObject(dec *json.Decoder, path string, v reflect.Value, depth int) error {
	t := v.Type()
	index := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		index[name] = i
	}
	seen := make([]bool, t.NumField())
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return fieldErrorf(path, "is not valid JSON: %v", err)
		}
		name, _ := tok.(string)
		fieldPath := joinPath(path, name)
		i, ok := index[name]
		if !ok {
			return fieldErrorf(fieldPath, "is not a known field")
		}
		if seen[i] {
			return fieldErrorf(fieldPath, "occurs twice")
		}
		seen[i] = true
		if err := decodeValue(dec, fieldPath, v.Field(i), depth+1); err != nil {
			return err
		}
	}
	if _, err := dec.Token(); err != nil {
		return fieldErrorf(path, "is not valid JSON: %v", err)
	}
	for i := range seen {
		name, options, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if !seen[i] && !strings.Contains(options, "omitempty") {
			return fieldErrorf(joinPath(path, name), "is missing")
		}
	}

	return nil
}

func decodeArray(dec *json.Decoder, path string, v reflect.Value, depth int) error {
	list := reflect.MakeSlice(v.Type(), 0, 0)
	for i := 0; dec.More(); i++ {
		item := reflect.New(v.Type().Elem()).Elem()
		if err := decodeValue(dec, path+"["+strconv.Itoa(i)+"]", item, depth+1); err != nil {
			return err
		}
		list = reflect.Append(list, item)
	}
	if _, err := dec.Token(); err != nil {
		return fieldErrorf(path, "is not valid JSON: %v", err)
	}
	v.Set(list)

	return nil
}

func setScalar(path string, v reflect.Value, tok json.Token) error {
	kind := v.Kind()
	switch tok := tok.(type) {
	case string:
		if kind == reflect.String {
			v.SetString(tok)
			return nil
		}
	case bool:
		if kind == reflect.Bool {
			v.SetBool(tok)
			return nil
		}
	case json.Number:
		switch {
		case v.CanInt():
			n, err := strconv.ParseInt(tok.String(), 10, v.Type().Bits())
			if err != nil {
				return fieldErrorf(path, "%s is not a %d-bit integer", tok, v.Type().Bits())
			}
			v.SetInt(n)

			return nil
		case v.CanUint():
			n, err := strconv.ParseUint(tok.String(), 10, v.Type().Bits())
			if err != nil {
				return fieldErrorf(path, "%s is not a %d-bit unsigned integer", tok, v.Type().Bits())
			}
			v.SetUint(n)

			return nil
		}
	}

	return fieldErrorf(path, "must be a %s", jsonTypeName(v))
}

func jsonTypeName(v reflect.Value) string {
	switch {
	case v.CanInt(), v.CanUint():
		return "number"
	case v.Kind() == reflect.Bool:
		return "boolean"
	default:
		return "string"
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}

	return path + "." + name
}
