// Package httpstore implements store.Table and store.Objects over HTTP.
package httpstore

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/httpjson"
	"github.com/wheatroad/wheatroad/internal/store"
)

// Client implements store.Table.
type Client struct {
	base   string
	client *http.Client
}

// New returns a client of the table service at the URL base, such as "http://127.0.0.1:7000".
func New(base string, client *http.Client) *Client {
	return &Client{base: base, client: client}
}

// Commit implements store.Table.
func (c *Client) Commit(ctx context.Context, transaction store.Transaction) (store.CommitResult, error) {
	var result store.CommitResult
	err := httpjson.Do(ctx, c.client, http.MethodPost, c.base+"/table/commit", transaction, &result)
	return result, markWriteError(err)
}

// Scan implements store.Table.
func (c *Client) Scan(ctx context.Context, prefix string, since int64) (store.ScanResult, error) {
	var result store.ScanResult
	query := url.Values{"prefix": {prefix}, "since": {strconv.FormatInt(since, 10)}}
	err := httpjson.Do(ctx, c.client, http.MethodGet, c.base+"/table/scan?"+query.Encode(), nil, &result)
	return result, markUnavailable(err)
}

// Get implements store.Table.
func (c *Client) Get(ctx context.Context, key string) (store.Row, error) {
	var row store.Row
	query := url.Values{"key": {key}}
	err := httpjson.Do(ctx, c.client, http.MethodGet, c.base+"/table/get?"+query.Encode(), nil, &row)
	return row, markUnavailable(err)
}

// markWriteError marks the error of a write that certainly had no effect as store.ErrUnavailable,
// and any other one as store.ErrOutcomeUnknown.
func markWriteError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, httpjson.ErrNotSent):
		return errors.Mark(err, store.ErrUnavailable)
	}
	return errors.Mark(err, store.ErrOutcomeUnknown)
}

// markUnavailable marks the error of a read as store.ErrUnavailable.
func markUnavailable(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(err, store.ErrUnavailable)
}

// Objects returns a client of the object store at the same URL.
func (c *Client) Objects() *Objects { return &Objects{base: c.base, client: c.client} }

// Objects implements store.Objects.
type Objects struct {
	base   string
	client *http.Client
}

func (o *Objects) objectURL(name string) string {
	return o.base + "/objects?" + url.Values{"name": {name}}.Encode()
}

// Put implements store.Objects.
func (o *Objects) Put(ctx context.Context, name string, content []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, o.objectURL(name), bytes.NewReader(content))
	if err != nil {
		return err
	}
	_, err = httpjson.Send(o.client, request)
	return markWriteError(err)
}

// Get implements store.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, o.objectURL(name), nil)
	if err != nil {
		return nil, err
	}
	content, err := httpjson.Send(o.client, request)
	if errors.Is(err, httpjson.ErrNotFound) {
		return nil, store.ErrNotFound
	}
	return content, markUnavailable(err)
}
