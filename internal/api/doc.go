// Package api implements the HTTP API for callers and operators. It authenticates requests,
// enforces limits and passes each request to the owner of its scheduling domain, on this
// node or another one.
package api
