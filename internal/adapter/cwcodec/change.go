package cwcodec

import (
	"encoding/json"
	"reflect"
	"strings"
	"time"

	"currantward/internal/base/cwhttp"
	"currantward/internal/core/cwconfigchange"
	"currantward/internal/core/cwpolicy"
)

// AuditRecord is the document of one accepted change.
type AuditRecord struct {
	Version  uint64    `json:"version"`
	ChangeID string    `json:"change-id"`
	Actor    string    `json:"who"`
	At       time.Time `json:"when"`
	Summary  string    `json:"what"`
}

// Core returns the core type.
func (r AuditRecord) Core() cwconfigchange.AuditRecord {
	return cwconfigchange.AuditRecord{Version: cwpolicy.Version(r.Version), Change: cwconfigchange.ID(r.ChangeID), Actor: r.Actor, At: r.At, Summary: r.Summary}
}

// AuditRecordOf returns the document of a record.
func AuditRecordOf(r cwconfigchange.AuditRecord) AuditRecord {
	return AuditRecord{Version: uint64(r.Version), ChangeID: string(r.Change), Actor: r.Actor, At: r.At.UTC(), Summary: r.Summary}
}

// History is the document of the latest changes, the oldest first.
type History struct {
	Records []AuditRecord `json:"records"`
}

// EncodeHistory returns records as JSON.
func EncodeHistory(records []cwconfigchange.AuditRecord) ([]byte, error) {
	return json.Marshal(HistoryOf(records))
}

// HistoryOf returns the document of records.
func HistoryOf(records []cwconfigchange.AuditRecord) History {
	document := History{Records: []AuditRecord{}}
	for _, r := range records {
		document.Records = append(document.Records, AuditRecordOf(r))
	}
	return document
}

// DecodeHistory parses records.
func DecodeHistory(data []byte) (records []cwconfigchange.AuditRecord, err error) {
	var document History
	if err = cwhttp.DecodeStrict(data, &document); err != nil {
		return nil, err
	}
	for _, r := range document.Records {
		records = append(records, r.Core())
	}
	return records, nil
}

// VersionRow is the small row that hosts poll.
type VersionRow struct {
	Version uint64 `json:"version"`
}

// EncodeVersion returns the small row of a version.
func EncodeVersion(v cwpolicy.Version) ([]byte, error) { return json.Marshal(VersionRow{uint64(v)}) }

// DecodeVersion parses the small row of a version.
func DecodeVersion(data []byte) (cwpolicy.Version, error) {
	var document VersionRow
	err := cwhttp.DecodeStrict(data, &document)
	return cwpolicy.Version(document.Version), err
}

// Operation says what became of one profile or team between two versions.
type Operation string

// The closed set of operations.
const (
	OperationAdded   Operation = "added"
	OperationRemoved Operation = "removed"
	OperationChanged Operation = "changed"
)

// Difference is one profile or team that differs between two versions.
type Difference struct {
	Item      string        `json:"item"` // profile or team
	Name      string        `json:"name"`
	Operation Operation     `json:"operation"`
	Fields    []FieldChange `json:"fields,omitempty"`
}

// FieldChange is one key whose value differs, each value as JSON.
type FieldChange struct {
	Key    string          `json:"key"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Differences is the document of all differences between two versions.
type Differences struct {
	From        uint64       `json:"from"`
	To          uint64       `json:"to"`
	Differences []Difference `json:"differences"`
}

// Diff returns what differs from before to after, in the order of names.
func Diff(before, after cwpolicy.Configuration) Differences {
	a, b := ConfigurationOf(before), ConfigurationOf(after)
	d := Differences{From: a.Version, To: b.Version, Differences: []Difference{}}
	d.add("profile", itemsOf(a.Profiles, profileName), itemsOf(b.Profiles, profileName))
	d.add("team", itemsOf(a.Teams, teamName), itemsOf(b.Teams, teamName))
	return d
}

// item is one named document.
type item struct {
	name  string
	value reflect.Value
}

func profileName(p Profile) string { return p.Name }

func teamName(t Team) string { return t.Name }

func itemsOf[T any](documents []T, name func(T) string) (items []item) {
	for _, d := range documents {
		items = append(items, item{name(d), reflect.ValueOf(d)})
	}
	return items
}

// add merges two lists that are sorted by name.
func (d *Differences) add(kind string, before, after []item) {
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || len(before) > 0 && before[0].name < after[0].name:
			d.Differences = append(d.Differences, Difference{Item: kind, Name: before[0].name, Operation: OperationRemoved})
			before = before[1:]
		case len(before) == 0 || after[0].name < before[0].name:
			d.Differences = append(d.Differences, Difference{Item: kind, Name: after[0].name, Operation: OperationAdded})
			after = after[1:]
		default:
			if fields := fieldChanges("", before[0].value, after[0].value); len(fields) > 0 {
				d.Differences = append(d.Differences, Difference{Item: kind, Name: after[0].name, Operation: OperationChanged, Fields: fields})
			}
			before, after = before[1:], after[1:]
		}
	}
}

// fieldChanges compares two documents of one type key by key, nested documents included.
func fieldChanges(prefix string, before, after reflect.Value) (changes []FieldChange) {
	for n := range before.NumField() {
		key, _, _ := strings.Cut(before.Type().Field(n).Tag.Get("json"), ",")
		a, b := before.Field(n), after.Field(n)
		if a.Kind() == reflect.Struct {
			changes = append(changes, fieldChanges(prefix+key+".", a, b)...)
			continue
		}
		if !reflect.DeepEqual(a.Interface(), b.Interface()) {
			changes = append(changes, FieldChange{Key: prefix + key, Before: raw(a), After: raw(b)})
		}
	}
	return changes
}

func raw(v reflect.Value) json.RawMessage {
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return nil
	}
	return text
}
