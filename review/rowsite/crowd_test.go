//go:build review

package rowsite

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// crowd is many clients that each hold one connection, as HTTP/1.1 clients do, and now and then ask for the state of
// a job on it. A client whose connection ends connects again.
type crowd struct {
	site     *site
	balancer *balancer
	job      string
	stopped  chan struct{}

	answered, failed atomic.Int64

	mutex sync.Mutex
	// open is how many clients hold a connection to each node on which they have had an answer.
	open map[*node]int
}

func newCrowd(s *site, b *balancer, job string) *crowd {
	return &crowd{site: s, balancer: b, job: job, stopped: make(chan struct{}), open: map[*node]int{}}
}

// admit begins so many clients, evenly over the given time.
func (c *crowd) admit(clients int, within time.Duration) {
	for i := range clients {
		go c.live(i)
		if i%100 == 0 {
			time.Sleep(within * 100 / time.Duration(clients))
		}
	}
}

// live is the life of one client.
func (c *crowd) live(client int) {
	for attempt := 0; ; attempt++ {
		n := c.balancer.choose(client, attempt)
		if c.useConnection(n) {
			attempt = -1
		} else {
			c.failed.Add(1)
		}
		select {
		case <-c.stopped:
			return
		case <-time.After(500*time.Millisecond + rand.N(time.Second)):
		}
	}
}

// Clients give an answer three seconds, the deadline of the sheet, and ask again each 12 to 14 s.
const (
	answerTime = 3 * time.Second
	askEvery   = 12 * time.Second
	askSpread  = 2 * time.Second
)

// useConnection opens a connection and asks on it until it ends. It returns whether there was an answer.
func (c *crowd) useConnection(n *node) bool {
	connection, err := net.DialTimeout("tcp", n.callers, answerTime)
	if err != nil {
		return false
	}
	defer connection.Close()
	reader := bufio.NewReaderSize(connection, 512)
	if c.ask(connection, reader) != nil {
		return false
	}
	c.count(n, 1)
	defer c.count(n, -1)
	for c.stillOpen(connection, reader) {
		if c.ask(connection, reader) != nil {
			c.failed.Add(1)
			break
		}
	}
	return true
}

func (c *crowd) ask(connection net.Conn, reader *bufio.Reader) error {
	_ = connection.SetDeadline(time.Now().Add(answerTime))
	_, err := fmt.Fprintf(connection, "GET %s%s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nWheatroad-Deadline-Ms: %d\r\n\r\n",
		prefix, c.job, hostName, apiKey, answerTime.Milliseconds())
	if err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	c.answered.Add(1)
	return nil
}

// stillOpen waits until the client asks again. It returns false if the connection has ended before.
func (c *crowd) stillOpen(connection net.Conn, reader *bufio.Reader) bool {
	_ = connection.SetDeadline(time.Now().Add(askEvery + rand.N(askSpread)))
	_, err := reader.Peek(1)
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

func (c *crowd) count(n *node, change int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.open[n] += change
}

// connections returns how many clients hold a connection, in all and as a text for each node.
func (c *crowd) connections() (total int, text string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, n := range c.site.nodes {
		total += c.open[n]
		text += fmt.Sprintf(" %s %d", n.name, c.open[n])
	}
	return total, text
}

// watch records each second what the clients have.
func (c *crowd) watch() {
	for {
		select {
		case <-c.stopped:
			return
		case <-time.After(time.Second):
		}
		_, text := c.connections()
		c.site.record.line("clients hold connections to%s; since the second before %d answers, %d tries without one; %d tasks at work",
			text, c.answered.Swap(0), c.failed.Swap(0), c.site.running(c.job))
	}
}
