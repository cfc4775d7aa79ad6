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

// ReadRequest reads one row.
type ReadRequest struct {
	Key string `json:"key"`
}

// ScanRequest reads rows in key order.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// ScanResponse is the response to a scan.
type ScanResponse struct {
	Rows []Row `json:"rows"`
}

// Row is the document of one row.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// ToModel returns the core type.
func (r Row) ToModel() cwport.Row {
	return cwport.Row{Key: r.Key, Version: cwport.RowVersion(r.Version), Value: r.Value}
}

// RowOf returns the document of r.
func RowOf(r cwport.Row) Row { return Row{Key: r.Key, Version: uint64(r.Version), Value: r.Value} }

// CommitRequest is the document of one transaction.
type CommitRequest struct {
	Preconditions []RowPrecondition `json:"checks,omitempty"`
	Puts          []RowPut          `json:"puts,omitempty"`
	Deletes       []string          `json:"deletes,omitempty"`
}

// RowPrecondition requires that a row has the given version.
type RowPrecondition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// RowPut writes one row.
type RowPut struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// ToModel returns the transaction.
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

// CommitRequestOf returns the document of txn.
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

// Host is the document of one row of the host list.
type Host struct {
	ID         string         `json:"id"`
	Role       string         `json:"role"`
	State      string         `json:"state"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"data-centre"`
	Rack       string         `json:"rack,omitempty"`
}

// ParamKnownVersion is the query parameter for the version of the host list that the client has; the server omits an unchanged list.
const ParamKnownVersion = "known"

// HostsResponse is the response to a request for the host list.
type HostsResponse struct {
	Version   uint64 `json:"version,omitempty"` // incremented by each change of the list
	Unchanged bool   `json:"unchanged,omitempty"`
	Hosts     []Host `json:"hosts,omitempty"`
}

// ToModel returns the core type; an unknown role or state is an error.
func (h Host) ToModel() (core cwmodel.Host, err error) {
	role, err := cwmodel.ParseHostRole(h.Role)
	if err != nil {
		return core, err
	}
	state, err := cwmodel.ParseHostState(h.State)
	return cwmodel.Host{
		ID: cwmodel.HostID(h.ID), Role: role, State: state, Address: h.Address,
		DataCentre: cwmodel.DataCentre(h.DataCentre), Rack: h.Rack,
	}, err
}

// HostOf returns the document of h.
func HostOf(h cwmodel.Host) Host {
	return Host{
		ID: string(h.ID), Role: string(h.Role), State: string(h.State), Address: h.Address,
		DataCentre: string(h.DataCentre), Rack: h.Rack,
	}
}
