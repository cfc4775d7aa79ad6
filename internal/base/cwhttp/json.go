package cwhttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"strings"

	"currantward/internal/base/cwfault"
)

// DecodeStrict decodes exactly one JSON document into out. It rejects unknown keys and trailing data, and its error lists
// every invalid key.
func DecodeStrict(data []byte, out any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return decodeError(data, out, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return cwfault.New(cwfault.Invalid, "malformed JSON: data after the document")
	}
	return nil
}

// decodeError returns an error that lists every invalid key, or the syntax error.
func decodeError(data []byte, out any, err error) error {
	t := reflect.TypeOf(out)
	if json.Valid(data) && t.Kind() == reflect.Pointer && t.Elem().Kind() == reflect.Struct {
		if faults := DecodeFields(data, reflect.New(t.Elem()).Interface()); len(faults) > 0 {
			return cwfault.New(cwfault.Invalid, "%s", strings.Join(faults, "; "))
		}
	}
	return cwfault.New(cwfault.Invalid, "malformed JSON: %v", err)
}
