// Package store is an HTTP client of the platform's object API. It makes each call
// once; retries, retry budgets and the circuit breaker are implemented by the
// archive package.
//
// # Usage
//
//	cl := &store.Client{Address: address, TLS: tlsConfig}
//	root, err := cl.Get(ctx, "root")
//	written, err := cl.Put(ctx, "root", value, root.Version)
//	root, err = cl.Watch(ctx, "root", written.Version, time.Now().Add(30*time.Second))
package store

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"corneltiller.dev/corneltiller/internal/protocol/object"
)

// watchMargin is how long after the end of a watch its answer may arrive.
const watchMargin = 2 * time.Second

// maxProblemBytes bounds how much of the body of an error answer is read, in
// bytes.
const maxProblemBytes = 64 << 10

// Client calls the store at one address. It is safe for concurrent use.
type Client struct {
	// Address is the address of the store's HTTP API.
	Address netip.AddrPort
	// TLS is the client's TLS configuration; plain HTTP is used if it is nil.
	TLS *tls.Config

	once sync.Once
	http *http.Client
	// era is the store's era by the last answer about the root, zero before the first.
	era atomic.Uint64
}

// Get reads one object. The errors of all calls are those of the object package,
// wrapped with the method, the name and the store's address.
func (cl *Client) Get(ctx context.Context, name string) (object.Object, error) {
	rq, err := cl.request(ctx, http.MethodGet, object.Path(name), nil)
	if err != nil {
		return object.Object{}, err
	}
	return cl.call(rq, name)
}

// Put writes one object if the store still has the given version of it; with
// object.Absent it creates the object. After object.ErrUnanswered the write may
// have taken effect.
func (cl *Client) Put(ctx context.Context, name string, value []byte, version object.Version) (object.Object, error) {
	rq, err := cl.request(ctx, http.MethodPut, object.Path(name), value)
	if err != nil {
		return object.Object{}, err
	}
	setCondition(rq, version)
	return cl.call(rq, name)
}

// Delete removes one object if the store still has the given version of it. After
// object.ErrUnanswered it may have taken effect.
func (cl *Client) Delete(ctx context.Context, name string, version object.Version) error {
	rq, err := cl.request(ctx, http.MethodDelete, object.Path(name), nil)
	if err != nil {
		return err
	}
	setCondition(rq, version)
	_, err = cl.call(rq, name)
	return err
}

// Watch waits until the object has another version than after, and returns the
// object. object.ErrUnchanged says that its version was still the same at until.
func (cl *Client) Watch(ctx context.Context, name string, after object.Version, until time.Time) (object.Object, error) {
	ctx, cancel := context.WithDeadline(ctx, until.Add(watchMargin))
	defer cancel()
	rq, err := cl.request(ctx, http.MethodGet, object.Path(name), nil)
	if err != nil {
		return object.Object{}, err
	}
	rq.Header.Set("If-None-Match", object.ETag(after))
	rq.Header.Set("Prefer", object.Preference(max(time.Until(until), time.Second)))
	return cl.call(rq, name)
}

// List returns the objects whose names begin with the prefix, without their values.
func (cl *Client) List(ctx context.Context, prefix string) (object.Listing, error) {
	path := object.Root + "?" + url.Values{"prefix": {prefix}}.Encode()
	rq, err := cl.request(ctx, http.MethodGet, path, nil)
	if err != nil {
		return object.Listing{}, err
	}
	listed, err := cl.call(rq, prefix)
	if err != nil {
		return object.Listing{}, err
	}
	var li object.Listing
	if err := json.Unmarshal(listed.Value, &li); err != nil {
		return object.Listing{}, errors.Wrapf(err, "decode list from store %s", cl.Address)
	}
	return li, nil
}

// setCondition sets the header that makes a write conditional on the version.
func setCondition(rq *http.Request, version object.Version) {
	if version == object.Absent {
		rq.Header.Set("If-None-Match", "*")
		return
	}
	rq.Header.Set("If-Match", object.ETag(version))
}

// request returns the HTTP request of a call.
func (cl *Client) request(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	scheme := "http"
	if cl.TLS != nil {
		scheme = "https"
	}
	rq, err := http.NewRequestWithContext(ctx, method, scheme+"://"+cl.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "build call to store %s", cl.Address)
	}
	return rq, nil
}

// call sends the request and decodes the answer.
func (cl *Client) call(rq *http.Request, name string) (object.Object, error) {
	cl.once.Do(cl.openHTTPClient)
	rs, err := cl.http.Do(rq)
	if err != nil {
		return object.Object{}, errors.Wrapf(object.ErrUnanswered, "%s %s at store %s: %v", rq.Method, name, cl.Address, err)
	}
	defer rs.Body.Close()
	found, err := read(rs, name)
	if err != nil {
		return found, errors.Wrapf(err, "%s %s at store %s", rq.Method, name, cl.Address)
	}
	return found, nil
}

func (cl *Client) openHTTPClient() {
	cl.http = &http.Client{Transport: &http.Transport{
		TLSClientConfig:   cl.TLS,
		ForceAttemptHTTP2: cl.TLS != nil,
		// A late second copy of an answer must not become the answer to another call.
		DisableKeepAlives: true,
	}}
}

// read decodes the answer. An answer whose body ends early counts as unanswered.
func read(rs *http.Response, name string) (object.Object, error) {
	found := object.Object{Name: name}
	found.Asked, _ = http.ParseTime(rs.Header.Get("Date"))
	found.Era = object.ParseEra(rs.Header)
	if rs.StatusCode >= http.StatusMultipleChoices {
		pr := decodeProblem(rs)
		found.Version = pr.Version
		return found, object.ErrorOf(rs.StatusCode, pr)
	}
	value, err := io.ReadAll(rs.Body)
	if err != nil {
		return found, object.ErrUnanswered
	}
	found.Value = value
	found.Size = len(value)
	found.Written, _ = http.ParseTime(rs.Header.Get("Last-Modified"))
	if tag := rs.Header.Get("Etag"); tag != "" {
		found.Version, err = object.ParseETag(tag)
	}
	return found, err
}

// decodeProblem decodes the body of an error answer.
func decodeProblem(rs *http.Response) object.Problem {
	// If the body is no object.Problem, as in an error page of a gateway, Status
	// stays zero, and ErrorOf then treats the call as unanswered.
	var pr object.Problem
	_ = json.NewDecoder(io.LimitReader(rs.Body, maxProblemBytes)).Decode(&pr)
	return pr
}
