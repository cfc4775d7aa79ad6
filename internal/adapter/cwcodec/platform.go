package cwcodec

import (
	"net/netip"

	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// Paths of the platform's API.
const (
	PathTableRead   = "/v1/table/read"
	PathTableScan   = "/v1/table/scan"
	PathTableCommit = "/v1/table/commit"
	PathObject      = "/v1/objects/"
	PathHosts       = "/v1/hosts"
)

// ReadRequest is the body of a request to read one row.
type ReadRequest struct {
	Key string `json:"key"`
}

// ScanRequest is the body of a request for the rows whose keys have a prefix, in key order.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"` // only keys greater than this
	Limit  int    `json:"limit"`           // largest number of rows to return
}

// ScanResponse is the body of the response to a scan.
type ScanResponse struct {
	Rows []Row `json:"rows"`
}

// Row is the JSON form of one row of the table.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// ToModel converts the row to the domain type.
func (r Row) ToModel() cwport.Row {
	return cwport.Row{Key: r.Key, Version: cwport.RowVersion(r.Version), Value: r.Value}
}

// RowOf converts a row to its JSON form.
func RowOf(r cwport.Row) Row { return Row{Key: r.Key, Version: uint64(r.Version), Value: r.Value} }

// CommitRequest is the JSON form of one transaction.
type CommitRequest struct {
	Preconditions []RowPrecondition `json:"checks,omitempty"`
	Puts          []RowPut          `json:"puts,omitempty"`
	Deletes       []string          `json:"deletes,omitempty"`
}

// RowPrecondition requires that a row has the given version; version 0 requires that there is no such row.
type RowPrecondition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// RowPut is one row to write.
type RowPut struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// ToModel converts the transaction to the domain type.
func (c CommitRequest) ToModel() cwport.Txn {
	txn := cwport.Txn{Deletes: c.Deletes}
	for _, check := range c.Preconditions {
		txn.Preconditions = append(txn.Preconditions, cwport.Precondition{Key: check.Key, Version: cwport.RowVersion(check.Version)})
	}
	for _, put := range c.Puts {
		txn.Puts = append(txn.Puts, cwport.Put(put))
	}
	return txn
}

// CommitRequestOf converts a transaction to its JSON form.
func CommitRequestOf(txn cwport.Txn) CommitRequest {
	document := CommitRequest{Deletes: txn.Deletes}
	for _, check := range txn.Preconditions {
		document.Preconditions = append(document.Preconditions, RowPrecondition{Key: check.Key, Version: uint64(check.Version)})
	}
	for _, put := range txn.Puts {
		document.Puts = append(document.Puts, RowPut(put))
	}
	return document
}

// Host is the JSON form of one host in the host list.
type Host struct {
	ID         string         `json:"id"`
	Role       string         `json:"role"`
	State      string         `json:"state"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"data-centre"`
	Rack       string         `json:"rack,omitempty"`
}

// ParamKnownVersion is the query parameter with the version of the host list that the client has. The server omits an unchanged list.
const ParamKnownVersion = "known"

// HostsResponse is the body of the response to a request for the host list.
type HostsResponse struct {
	Version   uint64 `json:"version,omitempty"`   // incremented by each change of the list
	Unchanged bool   `json:"unchanged,omitempty"` // the client has this version; Hosts is empty
	Hosts     []Host `json:"hosts,omitempty"`
}

// ToModel converts the host to the domain type. An unknown role or state is an error.
func (h Host) ToModel() (model cwmodel.Host, err error) {
	role, err := cwmodel.ParseHostRole(h.Role)
	if err != nil {
		return model, err
	}
	state, err := cwmodel.ParseHostState(h.State)
	return cwmodel.Host{
		ID: cwmodel.HostID(h.ID), Role: role, State: state, Address: h.Address,
		DataCentre: cwmodel.DataCentre(h.DataCentre), Rack: h.Rack,
	}, err
}

// HostOf converts a host to its JSON form.
func HostOf(h cwmodel.Host) Host {
	return Host{
		ID: string(h.ID), Role: string(h.Role), State: string(h.State), Address: h.Address,
		DataCentre: string(h.DataCentre), Rack: h.Rack,
	}
}
