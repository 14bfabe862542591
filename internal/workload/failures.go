package workload

import (
	"math"
	"strings"

	"github.com/wheatroad/wheatroad/internal/trace"
)

// Failure rates: 180 of 13,000 machines a day, one rack or switch a week, and four zones a year.
const (
	machineFailuresPerDay = 180.0 / 13000
	rackFailuresPerDay    = 1.0 / 7
	zoneFailuresPerDay    = 4.0 / 365
	meanRepairHours       = 2.0
	rackRepairHours       = 1.0
	zoneRepairHours       = 0.5
)

// failures adds machine, rack and zone failures and their repairs.
func (g *generator) failures() {
	machines := g.cluster.Machines()
	days := g.options.Hours / hoursPerDay
	for range g.poisson(machineFailuresPerDay * days * float64(len(machines))) {
		machine := machines[g.random.IntN(len(machines))]
		g.addFailure(machine.Name, meanRepairHours, machines)
	}
	for range g.poisson(rackFailuresPerDay * days) {
		machine := machines[g.random.IntN(len(machines))]
		g.addFailure(machine.At.Region+"/"+machine.At.Zone+"/"+machine.At.Rack+"/", rackRepairHours, machines)
	}
	for range g.poisson(zoneFailuresPerDay * days) {
		machine := machines[g.random.IntN(len(machines))]
		g.addFailure(machine.At.Region+"/"+machine.At.Zone+"/", zoneRepairHours, machines)
	}
}

// poisson returns a Poisson-distributed random number.
func (g *generator) poisson(mean float64) int {
	limit := math.Exp(-mean)
	product := g.random.Float64()
	count := 0
	for product > limit {
		product *= g.random.Float64()
		count++
	}
	return count
}

// addFailure adds a failure and the repair of the machine with the given name, or of all machines
// whose names begin with the prefix if it ends in a slash.
func (g *generator) addFailure(prefix string, repairHours float64, machines []trace.Machine) {
	at := g.random.Float64() * g.options.Hours * secondsPerHour
	repaired := at + (0.25+g.random.ExpFloat64())*repairHours*secondsPerHour
	for _, machine := range machines {
		if machine.Name == prefix || strings.HasPrefix(machine.Name, prefix) && strings.HasSuffix(prefix, "/") {
			g.lines = append(g.lines,
				trace.Line{At: math.Round(at), Event: trace.WorkerDown, Worker: machine.Name},
				trace.Line{At: math.Round(repaired), Event: trace.WorkerUp, Worker: machine.Name})
		}
	}
}
