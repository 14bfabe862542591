// Package auth authenticates requests by access key. Keys are stored only as SHA-256 hashes.
// An unsalted fast hash suffices because keys are long random strings.
package auth

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/wheatroad/wheatroad/internal/declaration"
)

// Principal is the authenticated sender of a request.
type Principal struct {
	// Tenant is empty for an operator.
	Tenant   string
	Operator bool
}

// HashKey returns the hex SHA-256 hash of a key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

const keyBytes = 32

// NewKey returns a random key.
func NewKey() string {
	random := make([]byte, keyBytes)
	// rand.Read never returns an error.
	_, _ = rand.Read(random)
	return hex.EncodeToString(random)
}

// Authenticate returns the principal of the request's bearer key. It compares all known hashes in
// constant time, even after a match, to prevent timing attacks.
func Authenticate(r *http.Request, operators []string, declared *declaration.Declaration) (Principal, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return Principal{}, false
	}
	keyHash := []byte(HashKey(key))
	var found Principal
	matched := false
	for _, operator := range operators {
		if subtle.ConstantTimeCompare(keyHash, []byte(operator)) == 1 {
			found, matched = Principal{Operator: true}, true
		}
	}
	for i := range declared.Tenants {
		for _, known := range declared.Tenants[i].KeyHashes {
			if subtle.ConstantTimeCompare(keyHash, []byte(known)) == 1 && !matched {
				found, matched = Principal{Tenant: declared.Tenants[i].Name}, true
			}
		}
	}
	return found, matched
}

// CanAccess reports whether the principal may access a tenant's jobs.
func (p Principal) CanAccess(tenant string) bool { return p.Operator || p.Tenant == tenant }
