// Package keeper is a client of the platform's key-value store.
package keeper

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"github.com/ebonylock/ebonylock/modules/fetcher"
)

var (
	// ErrNotFound is returned when the key has no value, or by Watch when it did not change.
	ErrNotFound = errors.New("key not found")
	// ErrConflict is returned when the key's version is not the expected one. Nothing was
	// written.
	ErrConflict = errors.New("version conflict")
	// ErrUnknownOutcome is returned when a write may or may not have taken effect.
	ErrUnknownOutcome = errors.New("write outcome unknown")
	// ErrUnavailable is returned when a read failed because the store did not answer or reported
	// an error.
	ErrUnavailable = errors.New("store unavailable")
)

// Value is a stored value and its version.
type Value struct {
	Data []byte
	// Version increases with each write of the key. It is 0 for a key without a value.
	Version uint64
}

// Client accesses the store over HTTP.
type Client struct {
	c *fetcher.Client
}

// New returns a Client for the store at addr.
func New(addr netip.AddrPort) *Client {
	return &Client{c: fetcher.New(addr, 4)}
}

type wireValue struct {
	Data    []byte `json:"data"`
	Version uint64 `json:"version"`
}

type wirePut struct {
	Data      []byte `json:"data"`
	IfVersion uint64 `json:"if-version"`
}

// Get returns the value of key.
func (c *Client) Get(key string, deadline time.Time) (Value, error) {
	return c.read("/v1/kv/"+url.PathEscape(key), deadline)
}

// Watch waits until the version of key is greater than after and returns the value. It returns
// ErrNotFound if there is no such change within wait.
func (c *Client) Watch(key string, after uint64, wait time.Duration, deadline time.Time) (Value, error) {
	q := fmt.Sprintf("?after-version=%d&wait-ms=%d", after, wait.Milliseconds())
	return c.read("/v1/kv/"+url.PathEscape(key)+q, deadline)
}

func (c *Client) read(path string, deadline time.Time) (Value, error) {
	var w wireValue
	code, err := c.c.Do(fasthttp.MethodGet, path, nil, &w, deadline)
	switch {
	case err != nil:
		return Value{}, oops.Wrap(errors.Join(ErrUnavailable, err))
	case code == fasthttp.StatusNotFound || code == fasthttp.StatusNoContent:
		return Value{}, ErrNotFound
	case code != fasthttp.StatusOK:
		return Value{}, oops.Wrapf(ErrUnavailable, "status %d", code)
	}
	return Value{Data: w.Data, Version: w.Version}, nil
}

// Put writes data if the key's version is ifVersion (0 if it has no value yet) and returns the
// new version. If no valid reply arrives, the error matches ErrUnknownOutcome.
func (c *Client) Put(key string, data []byte, ifVersion uint64, deadline time.Time) (uint64, error) {
	var w wireValue
	in := wirePut{Data: data, IfVersion: ifVersion}
	code, err := c.c.Do(fasthttp.MethodPut, "/v1/kv/"+url.PathEscape(key), in, &w, deadline)
	switch {
	case err != nil:
		return 0, oops.Wrap(errors.Join(ErrUnknownOutcome, err))
	case code == fasthttp.StatusConflict:
		return 0, ErrConflict
	case code != fasthttp.StatusOK:
		return 0, oops.Wrapf(ErrUnknownOutcome, "status %d", code)
	}
	return w.Version, nil
}
