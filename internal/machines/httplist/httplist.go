// Package httplist implements machines.List over the platform's HTTP API.
package httplist

import (
	"context"
	"net/http"
	"strconv"

	"github.com/wheatroad/wheatroad/internal/httpjson"
	"github.com/wheatroad/wheatroad/internal/machines"
)

// Client implements machines.List.
type Client struct {
	baseURL string
	client  *http.Client
}

// New returns a Client that sends its requests to the platform at baseURL.
func New(baseURL string, client *http.Client) *Client {
	return &Client{baseURL: baseURL, client: client}
}

// Changes implements machines.List.
func (l *Client) Changes(ctx context.Context, cursor int64) (machines.Update, error) {
	var update machines.Update
	url := l.baseURL + "/machines?cursor=" + strconv.FormatInt(cursor, 10)
	err := httpjson.Do(ctx, l.client, http.MethodGet, url, nil, &update)
	return update, err
}
