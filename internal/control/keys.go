package control

import (
	"encoding/json"

	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/store"
)

// Prefixes and keys of the rows in the table service.
const (
	controlPrefix = "control/"
	memberPrefix  = controlPrefix + "member/"
	leasePrefix   = controlPrefix + "lease/"
	epochPrefix   = controlPrefix + "epoch/"
	configPrefix  = controlPrefix + "config/"
	headKey       = configPrefix + "head"
	tenantPrefix  = configPrefix + "tenant/"
	racksKey      = configPrefix + "racks"
	jobPrefix     = "job/"
	donePrefix    = "done/"
	namePrefix    = "name/"
)

func memberKey(node string) string { return memberPrefix + node }

func leaseKey(domain string) string { return leasePrefix + domain }

func epochKey(domain string) string { return epochPrefix + domain }

func domainJobPrefix(domain string) string { return jobPrefix + domain + "/" }

func jobKey(domain string, key job.Key) string {
	return domainJobPrefix(domain) + key.String()
}

// DoneKey is the row of a job that has ended.
func DoneKey(domain string, key job.Key) string { return donePrefix + domain + "/" + key.String() }

// NameKey is the row that remembers which domain a job was accepted in.
func NameKey(key job.Key) string { return namePrefix + key.String() }

// Name is the row that makes a job's identifier unique. A tombstone takes its
// place when a submission whose answer was lost is given up.
type Name struct {
	Domain string `json:"domain"`
	// Digest identifies the submitted content.
	Digest string `json:"digest"`
	// Tombstone marks a submission that was settled as not run.
	Tombstone bool `json:"tombstone,omitempty"`
	// Write tells one write of the row from another.
	Write string `json:"write"`
}

func encode(value any) []byte {
	// Rows are structs of plain fields, which always marshal.
	document, _ := json.Marshal(value)
	return document
}

func write(key string, value any) store.Write {
	return store.Write{Key: key, Value: encode(value)}
}
