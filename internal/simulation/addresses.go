package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// addressReuseDelay is how long nobody listens at the address of a crashed worker before another
	// worker may get it.
	addressReuseDelay = 2 * time.Second
	// maxMoveDelay bounds the time that a worker that moves takes beyond the shortest one.
	maxMoveDelay = 2500 * time.Millisecond
	// At most maxExchange workers exchange their addresses at once.
	maxExchange = 4
)

// unusedAddress returns the wanted address, or a new one if a running worker listens at it.
func (c *Cluster) unusedAddress(wanted string) string {
	if holder := c.listener(wanted); holder == nil || holder.Crashed {
		return wanted
	}
	return c.newAddress()
}

// newAddress returns an address at which no worker has listened.
func (c *Cluster) newAddress() string {
	c.newAddresses++
	return fmt.Sprintf("address-%d", c.newAddresses)
}

// formerAddresses returns the addresses that crashed workers have left for addressReuseDelay or longer
// and at which no running worker listens.
func (c *Cluster) formerAddresses() []string {
	var addresses []string
	listed := map[string]bool{}
	for _, worker := range c.Workers {
		holder := c.listener(worker.Address)
		if listed[worker.Address] || !holder.Crashed || c.Clock.Now().Sub(holder.crashedAt) < addressReuseDelay {
			continue
		}
		listed[worker.Address] = true
		addresses = append(addresses, worker.Address)
	}
	return addresses
}

// StartWorkerAtNamedAddress adds a worker at an address that a false row has named and at which nobody
// listens, if there is one.
func (c *Cluster) StartWorkerAtNamedAddress(random *rand.Rand) {
	var free []string
	for _, address := range c.namedAddresses {
		if c.listener(address) == nil {
			free = append(free, address)
		}
	}
	if len(free) == 0 {
		return
	}
	address := free[random.IntN(len(free))]
	rack := c.Workers[random.IntN(len(c.Workers))].Rack()
	c.addWorkerAt(address, PoolName, c.newWorkerID(address), rack)
}

// MoveRandomWorkers occasionally moves a worker to another address, gives the address of a crashed
// worker to a new one, or exchanges the addresses of several workers. A worker that moves crashes and
// starts again. All random numbers come from random.
func (c *Cluster) MoveRandomWorkers(random *rand.Rand) {
	running := c.RunningWorkers()
	if len(running) == 0 {
		return
	}
	random.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	switch random.IntN(12) {
	case 0:
		c.moveWorker(running[0], random)
	case 1:
		c.replaceAtAddress(running[0], random)
	case 2:
		c.exchangeAddresses(running[:min(len(running), 2+random.IntN(maxExchange-1))], random)
	}
}

// moveWorker restarts a worker under its identifier at another address, which a former worker may have
// had.
func (c *Cluster) moveWorker(worker *Worker, random *rand.Rand) {
	address := c.newAddress()
	if former := c.formerAddresses(); len(former) > 0 && random.IntN(2) == 0 {
		address = former[random.IntN(len(former))]
	}
	worker.crashAtRandom(random)
	c.scheduleSuccessor(worker, successor{id: worker.ID, address: address, after: randomBelow(random, maxMoveDelay), clockMillis: randomInitialClock(random)})
}

// replaceAtAddress crashes a worker and gives its address to a new worker. The crashed worker starts
// again under its identifier, earlier or later, at another address.
func (c *Cluster) replaceAtAddress(worker *Worker, random *rand.Rand) {
	worker.crashAtRandom(random)
	again := successor{id: worker.ID, address: c.newAddress(), after: randomBelow(random, addressReuseDelay+maxMoveDelay), clockMillis: randomInitialClock(random)}
	c.scheduleSuccessor(worker, again)
	c.Clock.After(addressReuseDelay+randomBelow(random, maxMoveDelay), func() {
		c.addWorkerAt(c.unusedAddress(worker.Address), worker.Pool, c.newWorkerID(worker.Address), worker.Rack())
	})
}

// exchangeAddresses crashes workers, each of which starts again at the address of the next one, under
// its identifier or a new one.
func (c *Cluster) exchangeAddresses(workers []*Worker, random *rand.Rand) {
	sameIdentifiers := random.IntN(2) == 0
	for i, worker := range workers {
		worker.crashAtRandom(random)
		next := successor{id: worker.ID, address: workers[(i+1)%len(workers)].Address, after: addressReuseDelay + randomBelow(random, maxMoveDelay), clockMillis: randomInitialClock(random)}
		if !sameIdentifiers {
			next.id = c.newWorkerID(worker.Address)
		}
		c.scheduleSuccessor(worker, next)
	}
}

// crashAtRandom ends the worker process. Open connections are reset or left unresponsive.
func (w *Worker) crashAtRandom(random *rand.Rand) {
	if random.IntN(3) == 0 {
		w.Crash()
		w.resets = nil
		return
	}
	w.crashAndResetConnections()
}
