// Package httpfleet implements worker.Fleet over HTTP.
package httpfleet

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/wheatroad/wheatroad/internal/httpjson"
	"github.com/wheatroad/wheatroad/internal/worker"
)

// Fleet sends orders to the workers' addresses and reads reports from one base URL.
type Fleet struct {
	baseURL      string
	reportClient *http.Client
	orderClient  *http.Client
}

// New returns a fleet. The fleet reads reports from the base URL with the first client. It sends
// orders with the second client, which limits the connections per worker.
func New(baseURL string, reportClient, orderClient *http.Client) *Fleet {
	return &Fleet{baseURL: baseURL, reportClient: reportClient, orderClient: orderClient}
}

// Send posts one order to the worker's address.
func (f *Fleet) Send(ctx context.Context, name, address string, order worker.Order) (worker.Reply, error) {
	var reply worker.Reply
	orderURL := address + "/order?" + url.Values{"worker": {name}}.Encode()
	err := httpjson.Do(ctx, f.orderClient, http.MethodPost, orderURL, order, &reply)
	return reply, err
}

// Reports reads the report feed of a domain.
func (f *Fleet) Reports(ctx context.Context, domain string, cursor int64) (worker.Reports, error) {
	var reports worker.Reports
	query := url.Values{"domain": {domain}, "cursor": {strconv.FormatInt(cursor, 10)}}
	err := httpjson.Do(ctx, f.reportClient, http.MethodGet, f.baseURL+"/reports?"+query.Encode(), nil, &reports)
	return reports, err
}
