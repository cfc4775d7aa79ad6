// Package cwplatform is the HTTP client of the platform's table, object store and host list.
package cwplatform

import (
	"context"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
	"currantward/internal/core/cwmodel"
	"currantward/internal/port/cwport"
)

// Platform is a client of the platform. It caches the host list.
type Platform struct {
	client       *cwhttp.Client
	addr         netip.AddrPort
	mu           sync.Mutex
	hostsVersion uint64         // version of the cached host list; 0: none is cached
	hosts        []cwmodel.Host // cached host list
}

// New returns a client of the platform at addr and a function that closes its connections.
func New(addr netip.AddrPort, opts cwhttp.ClientOptions) (p *Platform, stop func()) {
	client, stop := cwhttp.NewClient(opts)
	return &Platform{client: client, addr: addr}, stop
}

// Table returns the table as a port.
func (p *Platform) Table() cwport.Table {
	return cwport.Table{Read: p.read, Scan: p.scan, Commit: p.commit}
}

// ObjectStore returns the object store as a port.
func (p *Platform) ObjectStore() cwport.ObjectStore {
	return cwport.ObjectStore{Put: p.putObject, Get: p.getObject, Delete: p.deleteObject}
}

// HostList returns the host list as a port.
func (p *Platform) HostList() cwport.HostList { return cwport.HostList{List: p.listHosts} }

func (p *Platform) read(ctx context.Context, key string) (row cwport.Row, err error) {
	defer func() { err = eris.Wrap(err, "read row") }()
	var document cwcodec.Row
	err = p.client.Call(ctx, fasthttp.MethodPost, p.addr, cwcodec.PathTableRead, cwcodec.ReadRequest{Key: key}, &document)
	return document.ToModel(), err
}

func (p *Platform) scan(ctx context.Context, prefix, after string, limit int) (rows []cwport.Row, err error) {
	defer func() { err = eris.Wrap(err, "scan rows") }()
	var document cwcodec.ScanResponse
	in := cwcodec.ScanRequest{Prefix: prefix, After: after, Limit: limit}
	if err = p.client.Call(ctx, fasthttp.MethodPost, p.addr, cwcodec.PathTableScan, in, &document); err != nil {
		return nil, err
	}
	for _, row := range document.Rows {
		rows = append(rows, row.ToModel())
	}
	return rows, nil
}

func (p *Platform) commit(ctx context.Context, txn cwport.Txn) (err error) {
	defer func() { err = eris.Wrap(err, "commit transaction") }()
	return p.client.Call(ctx, fasthttp.MethodPost, p.addr, cwcodec.PathTableCommit, cwcodec.CommitRequestOf(txn), nil)
}

func (p *Platform) putObject(ctx context.Context, key string, body []byte) (err error) {
	defer func() { err = eris.Wrap(err, "put object") }()
	_, err = p.callObjectStore(ctx, fasthttp.MethodPut, key, body)
	return err
}

func (p *Platform) getObject(ctx context.Context, key string) (body []byte, err error) {
	defer func() { err = eris.Wrap(err, "get object") }()
	return p.callObjectStore(ctx, fasthttp.MethodGet, key, nil)
}

func (p *Platform) deleteObject(ctx context.Context, key string) (err error) {
	defer func() { err = eris.Wrap(err, "delete object") }()
	_, err = p.callObjectStore(ctx, fasthttp.MethodDelete, key, nil)
	return err
}

// callObjectStore sends one call about an object and returns the body of the response. A missing object is NotFound.
func (p *Platform) callObjectStore(ctx context.Context, method, key string, body []byte) ([]byte, error) {
	status, response, err := p.client.Do(ctx, method, p.addr, cwcodec.PathObject+url.PathEscape(key), body)
	switch {
	case err != nil:
		return nil, err
	case status == fasthttp.StatusNotFound:
		return nil, cwfault.New(cwfault.NotFound, "no object %s", key)
	case status/100 != 2:
		return nil, cwfault.New(cwfault.Unavailable, "object store answered %d", status)
	}
	return response, nil
}

// listHosts returns the host list. It takes the list from the cache if the platform reports that it is unchanged since the last call.
func (p *Platform) listHosts(ctx context.Context) (hosts []cwmodel.Host, err error) {
	defer func() { err = eris.Wrap(err, "list hosts") }()
	p.mu.Lock()
	version := p.hostsVersion
	p.mu.Unlock()
	var document cwcodec.HostsResponse
	path := cwcodec.PathHosts + "?" + cwcodec.ParamKnownVersion + "=" + strconv.FormatUint(version, 10)
	if err = p.client.Call(ctx, fasthttp.MethodGet, p.addr, path, nil, &document); err != nil {
		return nil, err
	}
	if document.Unchanged {
		p.mu.Lock()
		defer p.mu.Unlock()
		return slices.Clone(p.hosts), nil
	}
	for _, row := range document.Hosts {
		host, err := row.ToModel()
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, host)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hostsVersion, p.hosts = document.Version, hosts
	return slices.Clone(hosts), nil
}
