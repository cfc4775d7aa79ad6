package cwcellcodec

import (
	"encoding/base64"
	"encoding/json"
	"strconv"
	"strings"

	"currantward/internal/base/cwfault"
)

// indexSet is an ascending list of numbers. Its stored form is a list of ranges such as "0-3,7", or a bitmap where that is shorter:
// the first number, a colon and the base64 form of a bit for each number from there on.
type indexSet []int

const (
	// maxIndexes bounds the numbers of one set, so that a damaged row cannot exhaust the memory.
	maxIndexes = 1 << 20
	// bitmapSeparator separates the first number from the bitmap.
	bitmapSeparator = ":"
)

// MarshalJSON encodes the set in the shorter one of the two forms.
func (s indexSet) MarshalJSON() ([]byte, error) {
	text := s.ranges()
	if len(s) > 0 && base64.StdEncoding.EncodedLen((s[len(s)-1]-s[0])/8+1)+len(strconv.Itoa(s[0]))+len(bitmapSeparator) < len(text) {
		text = s.bitmap()
	}
	return json.Marshal(text)
}

// ranges returns the set as a list of ranges.
func (s indexSet) ranges() string {
	var b []byte
	for n := 0; n < len(s); {
		end := n
		for end+1 < len(s) && s[end+1] == s[end]+1 {
			end++
		}
		if n > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(b, int64(s[n]), 10)
		if end > n {
			b = strconv.AppendInt(append(b, '-'), int64(s[end]), 10)
		}
		n = end + 1
	}
	return string(b)
}

// bitmap returns the set, which is not empty, as a bitmap.
func (s indexSet) bitmap() string {
	bits := make([]byte, (s[len(s)-1]-s[0])/8+1)
	for _, v := range s {
		bits[(v-s[0])/8] |= 1 << ((v - s[0]) % 8)
	}
	return strconv.Itoa(s[0]) + bitmapSeparator + base64.StdEncoding.EncodeToString(bits)
}

// UnmarshalJSON decodes a set, also from a list of numbers as older programs write it.
func (s *indexSet) UnmarshalJSON(data []byte) (err error) {
	if len(data) > 0 && data[0] == '[' {
		return json.Unmarshal(data, (*[]int)(s))
	}
	var text string
	if err = json.Unmarshal(data, &text); err != nil {
		return err
	}
	*s = nil
	if first, bits, ok := strings.Cut(text, bitmapSeparator); ok {
		return s.parseBitmap(first, bits)
	}
	for text != "" {
		var part string
		part, text, _ = strings.Cut(text, ",")
		if err = s.parseRange(part); err != nil {
			return err
		}
	}
	return nil
}

// parseRange adds a range, or a single number.
func (s *indexSet) parseRange(part string) error {
	low, high, isRange := strings.Cut(part, "-")
	if !isRange {
		high = low
	}
	first, err := strconv.Atoi(low)
	if err != nil {
		return err
	}
	last, err := strconv.Atoi(high)
	if err != nil {
		return err
	}
	if last < first || last-first >= maxIndexes-len(*s) {
		return cwfault.New(cwfault.Invalid, "malformed range %q", part)
	}
	for v := first; v <= last; v++ {
		*s = append(*s, v)
	}
	return nil
}

// parseBitmap adds the numbers of a bitmap that begins with the number first.
func (s *indexSet) parseBitmap(first, encoded string) error {
	base, err := strconv.Atoi(first)
	if err != nil {
		return err
	}
	bits, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return err
	}
	if len(bits) > maxIndexes/8 {
		return cwfault.New(cwfault.Invalid, "the bitmap has %d bytes", len(bits))
	}
	for n, b := range bits {
		for bit := range 8 {
			if b&(1<<bit) != 0 {
				*s = append(*s, base+8*n+bit)
			}
		}
	}
	return nil
}
