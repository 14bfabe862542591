package planning

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wheatroad/wheatroad/internal/cluster"
	"github.com/wheatroad/wheatroad/internal/declaration"
	"github.com/wheatroad/wheatroad/internal/fault"
	"github.com/wheatroad/wheatroad/internal/job"
	"github.com/wheatroad/wheatroad/internal/machines"
	"github.com/wheatroad/wheatroad/internal/schedule"
)

// Plan is the effect of confirming a declaration.
type Plan struct {
	// Digest is a hash of the fields below except Impact.
	Digest string `json:"digest"`
	// BaseVersion is the configuration version on which the plan is based.
	BaseVersion int64                   `json:"base"`
	Changes     []declaration.Change    `json:"changes"`
	Declaration declaration.Declaration `json:"declaration"`
	// Effects lists the domains to which guarantees would be assigned.
	Effects []Effect `json:"effects,omitempty"`
	// Impact lists the effects on jobs at the time of planning. The digest excludes it, since jobs
	// change continuously.
	Impact []Effect `json:"impact,omitempty"`
}

// Effect is one consequence of a plan.
type Effect struct {
	// Kind is "guarantee_placed"; for jobs "job_preempted", "job_leaves_rack", "job_ends",
	// "job_waits" or "job_starts"; or "domain_unknown".
	Kind    string `json:"kind"`
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// DomainMachines maps each domain to the machines on which a plan is evaluated.
type DomainMachines map[string][]machines.Machine

// New returns the plan that changes the current configuration into the declared one. If the
// guarantees do not all fit at the same time, the error names the nearest shape that would.
func New(current declaration.Configuration, declared declaration.Declaration, site DomainMachines, now time.Time) (*Plan, error) {
	declared.Normalize()
	if err := declared.Validate(); err != nil {
		return nil, err
	}
	plan := &Plan{BaseVersion: current.Version}
	assigned, effects, err := assign(current.Declaration, declared, site, now)
	if err != nil {
		return nil, err
	}
	plan.Declaration = assigned
	plan.Changes = declaration.Diff(&current.Declaration, &assigned)
	plan.Effects = effects
	plan.Digest = plan.digest()
	return plan, nil
}

func (p *Plan) digest() string {
	content := *p
	content.Digest = ""
	content.Impact = nil
	// Marshalling a struct of plain fields cannot fail.
	document, _ := json.Marshal(content)
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}

// DigestMatches reports whether the digest of a plan from an untrusted source matches its content.
func (p *Plan) DigestMatches() bool { return p.Digest == p.digest() }

// assign distributes each guarantee over domains with sufficient capacity: the zone that it names,
// else preferably the domains that hold it now.
func assign(current, declared declaration.Declaration, site DomainMachines, now time.Time) (declaration.Declaration, []Effect, error) {
	placer := newPlacer(site, declared.DrainedRacks, now)
	assigned := declaration.Declaration{DrainedRacks: declared.DrainedRacks}
	var effects []Effect
	for i := range declared.Tenants {
		tenant := declared.Tenants[i]
		tenant.Guarantees = nil
		assigned.Tenants = append(assigned.Tenants, tenant)
	}
	for _, request := range requestsOf(&declared, &current) {
		placed, err := placer.place(request)
		if err != nil {
			return assigned, nil, err
		}
		tenant := &assigned.Tenants[request.tenant]
		tenant.Guarantees = append(tenant.Guarantees, placed...)
		for _, guarantee := range placed {
			effects = append(effects, Effect{
				Kind: "guarantee_placed", Subject: "tenant " + tenant.Name,
				Detail: fmt.Sprintf("%d x (%d members of %d accelerators) in %s", guarantee.Count, guarantee.Members, guarantee.Accelerators, guarantee.Domain),
			})
		}
	}
	return assigned, effects, nil
}

// request is a guarantee to be assigned.
type request struct {
	tenant    int
	name      string
	guarantee declaration.Guarantee
	// preferred lists the domains that currently hold a guarantee of this shape.
	preferred []string
}

// requestsOf returns the guarantees, ordered by ascending width of their spread, then by
// descending size.
func requestsOf(declared, current *declaration.Declaration) []request {
	var requests []request
	for i := range declared.Tenants {
		for _, guarantee := range declared.Tenants[i].Guarantees {
			r := request{tenant: i, name: declared.Tenants[i].Name, guarantee: guarantee}
			if existing := current.FindTenant(r.name); existing != nil {
				for _, placed := range existing.Guarantees {
					if placed.Shape == guarantee.Shape {
						r.preferred = append(r.preferred, placed.Domain)
					}
				}
			}
			requests = append(requests, r)
		}
	}
	slices.SortStableFunc(requests, func(a, b request) int {
		if c := a.guarantee.Spread.Width() - b.guarantee.Spread.Width(); c != 0 {
			return c
		}
		return b.guarantee.TotalAccelerators() - a.guarantee.TotalAccelerators()
	})
	return requests
}

// placer assigns copies of guarantees to domains.
type placer struct {
	now     time.Time
	names   []string
	domains map[string]*domainPlacements
}

// domainPlacements holds the guarantees assigned to one domain so far.
type domainPlacements struct {
	scheduler *schedule.Scheduler
	tenants   []declaration.Tenant
	copies    int
}

func newPlacer(site DomainMachines, drained []string, now time.Time) *placer {
	p := &placer{now: now, domains: map[string]*domainPlacements{}}
	for name, list := range site {
		p.names = append(p.names, name)
		scheduler := schedule.New(schedule.Default(), cluster.NewState())
		for i := range list {
			machine := &list[i]
			rack := machine.Region + "/" + machine.Zone + "/" + machine.Rack
			if machine.Status != machines.Live || slices.Contains(drained, rack) {
				continue
			}
			scheduler.AddWorker(now, machine.Name,
				cluster.Location{Region: machine.Region, Zone: machine.Zone, Rack: machine.Rack},
				cluster.CapacityOf(machine))
		}
		p.domains[name] = &domainPlacements{scheduler: scheduler}
	}
	slices.Sort(p.names)
	return p
}

// fits reports whether the domain can hold the guarantee in addition to those assigned so far.
func (p *domainPlacements) fits(now time.Time, tenant string, guarantee declaration.Guarantee) bool {
	tenants := append(slices.Clone(p.tenants), declaration.Tenant{Name: tenant, Guarantees: []declaration.Guarantee{guarantee}})
	return p.scheduler.Configure(now, tenants) == 0
}

func (p *placer) place(r request) ([]declaration.Guarantee, error) {
	var placed []declaration.Guarantee
	remaining := r.guarantee.Count
	for _, name := range p.candidates(r) {
		if remaining == 0 {
			break
		}
		count := p.maxCopies(name, r, remaining)
		if count == 0 {
			continue
		}
		guarantee := r.guarantee
		guarantee.Count = count
		guarantee.Domain = name
		domain := p.domains[name]
		domain.tenants = append(domain.tenants, declaration.Tenant{Name: r.name, Guarantees: []declaration.Guarantee{guarantee}})
		domain.copies += count
		placed = append(placed, guarantee)
		remaining -= count
	}
	if remaining > 0 {
		return nil, p.infeasibleError(r, r.guarantee.Count-remaining)
	}
	return placed, nil
}

// candidates returns the domains that may hold a guarantee: first those that hold it now, then by
// ascending number of assigned copies.
func (p *placer) candidates(r request) []string {
	if r.guarantee.Domain != "" {
		if _, ok := p.domains[r.guarantee.Domain]; !ok {
			return nil
		}
		return []string{r.guarantee.Domain}
	}
	names := slices.Clone(p.names)
	slices.SortStableFunc(names, func(a, b string) int {
		preferA, preferB := slices.Contains(r.preferred, a), slices.Contains(r.preferred, b)
		switch {
		case preferA && !preferB:
			return -1
		case preferB && !preferA:
			return 1
		}
		return p.domains[a].copies - p.domains[b].copies
	})
	return names
}

// maxCopies returns how many additional copies, up to limit, a domain can hold.
func (p *placer) maxCopies(name string, r request, limit int) int {
	low, high := 0, limit
	for low < high {
		middle := (low + high + 1) / 2
		guarantee := r.guarantee
		guarantee.Count = middle
		if p.domains[name].fits(p.now, r.name, guarantee) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// infeasibleError returns an error that names the nearest shape that would fit: fewer copies, else
// fewer members.
func (p *placer) infeasibleError(r request, count int) error {
	field := "tenant." + r.name + ".guarantee"
	shape := describeShape(r.guarantee.Shape)
	if count > 0 {
		return fault.NewField(fault.PlanInfeasible, field, "%d copies of %s do not fit beside the other guarantees; %d would fit", r.guarantee.Count, shape, count)
	}
	candidate := r
	candidate.guarantee.Count = 1
	for candidate.guarantee.Members > 1 {
		candidate.guarantee.Members--
		for _, name := range p.candidates(candidate) {
			if p.maxCopies(name, candidate, 1) == 1 {
				return fault.NewField(fault.PlanInfeasible, field, "no %s fits beside the other guarantees; the largest gang that fits is %s", shape, describeShape(candidate.guarantee.Shape))
			}
		}
	}
	return fault.NewField(fault.PlanInfeasible, field, "no %s fits beside the other guarantees, nor does any gang with fewer members", shape)
}

func describeShape(shape job.Shape) string {
	return fmt.Sprintf("(%d members of %d accelerators in one %s)", shape.Members, shape.Accelerators, shape.Spread)
}

// Summary returns the plan's changes, one per line.
func (p *Plan) Summary() string {
	var lines []string
	for _, change := range p.Changes {
		lines = append(lines, change.Action+" "+change.Subject+" "+change.Detail)
	}
	return strings.Join(lines, "\n")
}
