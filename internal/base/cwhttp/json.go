package cwhttp

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"currantward/internal/base/cwfault"
)

// DecodeStrict decodes exactly one JSON document into out and rejects unknown keys and trailing data.
func DecodeStrict(data []byte, out any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return cwfault.New(cwfault.Invalid, "malformed JSON: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return cwfault.New(cwfault.Invalid, "malformed JSON: data after the document")
	}
	return nil
}
