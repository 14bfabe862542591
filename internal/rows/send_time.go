package rows

import (
	"encoding/base64"
	"time"
)

// smallLink is the rate, in bytes a second, at which a call is taken to be sent: that of
// a link of 2 Mbit/s.
const smallLink = 250_000

// SendTime returns how long a transaction takes to send over a small link. It counts on
// top of a call's limits: a call that ends while it is being sent is sent again from its
// start.
func SendTime(transaction Transaction) time.Duration {
	return time.Duration(transaction.Bytes()) * time.Second / smallLink
}

// Bytes is what the transaction's rows take on the link.
func (t *Transaction) Bytes() int {
	bytes := 0
	for i := range t.Puts {
		bytes += base64.StdEncoding.EncodedLen(len(t.Puts[i].Value))
	}
	return bytes
}

// Bytes is what the listing's rows take on the link.
func (l *Listing) Bytes() int {
	bytes := 0
	for i := range l.Rows {
		bytes += base64.StdEncoding.EncodedLen(len(l.Rows[i].Value))
	}
	return bytes
}
