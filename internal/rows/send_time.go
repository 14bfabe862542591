package rows

import (
	"encoding/base64"
	"time"
)

// sendBytesPerSecond is the assumed bandwidth to the store, 2 Mbit/s.
const sendBytesPerSecond = 250_000

// SendTime returns how long it takes to send a transaction over a slow link. Callers add the result
// to the time limit of a call. A call that times out while sending has to start from the beginning.
func SendTime(transaction Transaction) time.Duration {
	return time.Duration(transaction.Bytes()) * time.Second / sendBytesPerSecond
}

// Bytes returns the encoded size of the transaction's values.
func (t *Transaction) Bytes() int {
	bytes := 0
	for i := range t.Puts {
		bytes += base64.StdEncoding.EncodedLen(len(t.Puts[i].Value))
	}
	return bytes
}

// Bytes returns the encoded size of the listing's values.
func (l *Listing) Bytes() int {
	bytes := 0
	for i := range l.Rows {
		bytes += base64.StdEncoding.EncodedLen(len(l.Rows[i].Value))
	}
	return bytes
}
