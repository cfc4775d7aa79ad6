package cwhttp

import (
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"currantward/internal/base/cwfault"
)

// DecodeFields decodes every key of data into out, a pointer to a struct, and returns one message per invalid key.
//
// It continues after an invalid key, so that all of them are reported at once and valid keys are set.
func DecodeFields(data []byte, out any) (faults []string) {
	faults = decodeInto(nil, "", data, reflect.ValueOf(out).Elem())
	slices.Sort(faults)
	return faults
}

// decodeInto decodes data into v and appends one message per invalid key to faults. path is the key of data, empty for the
// whole document.
func decodeInto(faults []string, path string, data json.RawMessage, v reflect.Value) []string {
	t := v.Type()
	switch {
	case string(data) == "null" || hasUnmarshaler(t): // decoded as a whole below
	case t.Kind() == reflect.Pointer:
		if v.IsNil() {
			v.Set(reflect.New(t.Elem()))
		}
		return decodeInto(faults, path, data, v.Elem())
	case t.Kind() == reflect.Struct:
		return decodeStruct(faults, path, data, v)
	case t.Kind() == reflect.Slice && t.Elem().Kind() != reflect.Uint8:
		return decodeSlice(faults, path, data, v)
	}
	if err := json.Unmarshal(data, v.Addr().Interface()); err != nil {
		return append(faults, withPath(path, describeDecodeError(err)))
	}
	return faults
}

// decodeStruct decodes each key of an object into the field of v with that key, and appends one message per invalid or unknown key to faults.
func decodeStruct(faults []string, path string, data json.RawMessage, v reflect.Value) []string {
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(data, &keys); err != nil {
		return append(faults, withPath(path, describeDecodeError(err)))
	}
	for key, value := range keys {
		at := strings.TrimPrefix(path+"."+key, ".")
		index, ok := fieldIndex(v.Type(), key)
		if !ok {
			faults = append(faults, withPath(at, "unknown key"))
			continue
		}
		faults = decodeInto(faults, at, value, v.FieldByIndex(index))
	}
	return faults
}

// decodeSlice decodes each element of an array into v, and appends one message per invalid element to faults.
func decodeSlice(faults []string, path string, data json.RawMessage, v reflect.Value) []string {
	var elements []json.RawMessage
	if err := json.Unmarshal(data, &elements); err != nil {
		return append(faults, withPath(path, describeDecodeError(err)))
	}
	v.Set(reflect.MakeSlice(v.Type(), len(elements), len(elements)))
	for n, element := range elements {
		faults = decodeInto(faults, fmt.Sprintf("%s[%d]", path, n), element, v.Index(n))
	}
	return faults
}

// hasUnmarshaler reports whether t or a pointer to it implements json.Unmarshaler or encoding.TextUnmarshaler.
func hasUnmarshaler(t reflect.Type) bool {
	p := reflect.PointerTo(t)
	return p.Implements(reflect.TypeFor[json.Unmarshaler]()) || p.Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

// fieldIndex returns the index of the field that a JSON key decodes into, regardless of case as in encoding/json; false if there is none.
func fieldIndex(t reflect.Type, key string) ([]int, bool) {
	for _, field := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if field.Anonymous && name == "" || !field.IsExported() {
			continue
		}
		if name == "" {
			name = field.Name
		}
		if strings.EqualFold(name, key) {
			return field.Index, true
		}
	}
	return nil, false
}

// withPath prefixes a message with path, the key that it is about. An empty path means the whole document and adds nothing.
func withPath(path, message string) string {
	if path == "" {
		return message
	}
	return path + ": " + message
}

// describeDecodeError returns the message of a decoding error. For a value of the wrong type it names only the basic kind that is expected, such as
// float64 or map, but not the Go type or field.
func describeDecodeError(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Sprintf("%s is not a valid %s", typeErr.Value, typeErr.Type.Kind())
	}
	return cwfault.MessageOf(err)
}
