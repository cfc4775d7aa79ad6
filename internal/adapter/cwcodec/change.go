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

// AuditRecord is the JSON form of the record of one committed configuration change.
type AuditRecord struct {
	Version  uint64    `json:"version"`
	ChangeID string    `json:"change-id"`
	Actor    string    `json:"who"`
	At       time.Time `json:"when"`
	Summary  string    `json:"what"`
}

// ToModel converts the record to the domain type.
func (r AuditRecord) ToModel() cwconfigchange.AuditRecord {
	return cwconfigchange.AuditRecord{Version: cwpolicy.Version(r.Version), Change: cwconfigchange.ID(r.ChangeID), Actor: r.Actor, At: r.At, Summary: r.Summary}
}

// AuditRecordOf converts an audit record to its JSON form.
func AuditRecordOf(r cwconfigchange.AuditRecord) AuditRecord {
	return AuditRecord{Version: uint64(r.Version), ChangeID: string(r.Change), Actor: r.Actor, At: r.At.UTC(), Summary: r.Summary}
}

// History is the JSON form of the audit records of the latest changes, oldest first.
type History struct {
	Records []AuditRecord `json:"records"`
}

// EncodeHistory encodes audit records as JSON.
func EncodeHistory(records []cwconfigchange.AuditRecord) ([]byte, error) {
	return json.Marshal(HistoryOf(records))
}

// HistoryOf converts audit records to their JSON form.
func HistoryOf(records []cwconfigchange.AuditRecord) History {
	document := History{Records: []AuditRecord{}}
	for _, r := range records {
		document.Records = append(document.Records, AuditRecordOf(r))
	}
	return document
}

// DecodeHistory decodes audit records.
func DecodeHistory(data []byte) (records []cwconfigchange.AuditRecord, err error) {
	var document History
	if err = cwhttp.DecodeStrict(data, &document); err != nil {
		return nil, err
	}
	for _, r := range document.Records {
		records = append(records, r.ToModel())
	}
	return records, nil
}

// VersionRow is the JSON form of the small row that entry hosts poll to detect a new version of the configuration.
type VersionRow struct {
	Version uint64 `json:"version"`
}

// EncodeVersion encodes the version row.
func EncodeVersion(v cwpolicy.Version) ([]byte, error) { return json.Marshal(VersionRow{uint64(v)}) }

// DecodeVersion decodes the version row.
func DecodeVersion(data []byte) (cwpolicy.Version, error) {
	var document VersionRow
	err := cwhttp.DecodeStrict(data, &document)
	return cwpolicy.Version(document.Version), err
}

// Operation is the kind of change that one profile or team underwent between two versions.
type Operation string

// Operations.
const (
	OperationAdded   Operation = "added"
	OperationRemoved Operation = "removed"
	OperationChanged Operation = "changed"
)

// Difference is one profile or team that differs between two versions.
type Difference struct {
	Item      string        `json:"item"` // "profile" or "team"
	Name      string        `json:"name"`
	Operation Operation     `json:"operation"`
	Fields    []FieldChange `json:"fields,omitempty"` // of a changed item only
}

// FieldChange is one JSON key whose value differs, with both values.
type FieldChange struct {
	Key    string          `json:"key"` // path of JSON keys, separated by dots
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// Differences is the JSON form of the differences between two versions of the configuration.
type Differences struct {
	From        uint64       `json:"from"`
	To          uint64       `json:"to"`
	Differences []Difference `json:"differences"`
}

// Diff returns the differences from before to after: those of profiles, then those of teams, each sorted by name.
func Diff(before, after cwpolicy.Configuration) Differences {
	a, b := ConfigurationOf(before), ConfigurationOf(after)
	d := Differences{From: a.Version, To: b.Version, Differences: []Difference{}}
	d.add("profile", itemsOf(a.Profiles, profileName), itemsOf(b.Profiles, profileName))
	d.add("team", itemsOf(a.Teams, teamName), itemsOf(b.Teams, teamName))
	return d
}

// item is the JSON form of one profile or team, with its name.
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

// add appends the differences between two lists of items of a kind. Both lists must be sorted by name.
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

// fieldChanges compares two structs of the same type field by field, including nested structs, whose keys get the outer key as prefix.
func fieldChanges(prefix string, before, after reflect.Value) (changes []FieldChange) {
	for n := range before.NumField() {
		key, _, _ := strings.Cut(before.Type().Field(n).Tag.Get("json"), ",")
		a, b := before.Field(n), after.Field(n)
		if a.Kind() == reflect.Struct {
			changes = append(changes, fieldChanges(prefix+key+".", a, b)...)
			continue
		}
		if !reflect.DeepEqual(a.Interface(), b.Interface()) {
			changes = append(changes, FieldChange{Key: prefix + key, Before: marshalField(a), After: marshalField(b)})
		}
	}
	return changes
}

func marshalField(v reflect.Value) json.RawMessage {
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return nil
	}
	return text
}
