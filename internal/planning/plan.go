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
	// Digest is a hash of the other fields except Impact.
	Digest string `json:"digest"`
	// BaseVersion is the configuration version on which the plan is based.
	BaseVersion int64                   `json:"base"`
	Changes     []declaration.Change    `json:"changes"`
	Declaration declaration.Declaration `json:"declaration"`
	// Effects lists the domains to which guarantees would be assigned.
	Effects []Effect `json:"effects,omitempty"`
	// Impact lists the effects on jobs at the time of planning. Digest excludes Impact because jobs
	// change continuously.
	Impact []Effect `json:"impact,omitempty"`
}

// Effect is one consequence of a plan.
type Effect struct {
	// Kind is "guarantee_placed" in Plan.Effects. In Plan.Impact it is "job_preempted",
	// "job_leaves_rack", "job_ends", "job_waits", "job_starts" or "domain_unknown".
	Kind    string `json:"kind"`
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// DomainMachines maps the name of each domain to the machines of the domain.
type DomainMachines map[string][]machines.Machine

// New returns the plan that changes the current configuration into the declared one. If the
// guarantees do not all fit at the same time, the error names the nearest shape that would fit.
func New(current declaration.Configuration, declared declaration.Declaration, machinesOf DomainMachines, now time.Time) (*Plan, error) {
	declared.Normalize()
	if err := declared.Validate(); err != nil {
		return nil, err
	}
	plan := &Plan{BaseVersion: current.Version}
	assigned, effects, err := assign(current.Declaration, declared, machinesOf, now)
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
	hashed := *p
	hashed.Digest = ""
	hashed.Impact = nil
	// Marshalling a struct of plain fields cannot fail.
	document, _ := json.Marshal(hashed)
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}

// DigestMatches reports whether the digest of a plan from an untrusted source matches its content.
func (p *Plan) DigestMatches() bool { return p.Digest == p.digest() }

// assign distributes the copies of each guarantee over domains with sufficient capacity. A
// guarantee that names a domain is assigned only to this domain. For any other guarantee, the
// domains that hold it now are preferred.
func assign(current, declared declaration.Declaration, machinesOf DomainMachines, now time.Time) (declaration.Declaration, []Effect, error) {
	placer := newPlacer(machinesOf, declared.DrainedRacks, now)
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
	// tenant is the index of the tenant in the declaration, and name is the tenant's name.
	tenant    int
	name      string
	guarantee declaration.Guarantee
	// preferred lists the domains that now hold a guarantee of the tenant with the same shape.
	preferred []string
}

// requestsOf returns a request for each declared guarantee. Guarantees with a narrower spread come
// first. Among guarantees with the same spread, larger ones come first.
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
	now         time.Time
	domainNames []string
	domains     map[string]*domainPlacements
}

// domainPlacements holds the guarantees assigned to one domain so far.
type domainPlacements struct {
	scheduler *schedule.Scheduler
	tenants   []declaration.Tenant
	copies    int
}

func newPlacer(machinesOf DomainMachines, drained []string, now time.Time) *placer {
	p := &placer{now: now, domains: map[string]*domainPlacements{}}
	for name, domainMachines := range machinesOf {
		p.domainNames = append(p.domainNames, name)
		scheduler := schedule.New(schedule.Default(), cluster.NewState())
		for i := range domainMachines {
			machine := &domainMachines[i]
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
	slices.Sort(p.domainNames)
	return p
}

// fits reports whether the domain can hold a guarantee in addition to the guarantees that were
// assigned to the domain so far.
func (p *domainPlacements) fits(now time.Time, tenant string, guarantee declaration.Guarantee) bool {
	tenants := append(slices.Clone(p.tenants), declaration.Tenant{Name: tenant, Guarantees: []declaration.Guarantee{guarantee}})
	return p.scheduler.Configure(now, tenants) == 0
}

// place assigns all copies of a guarantee. It returns one guarantee for each domain used.
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

// candidates returns the domains that may hold a guarantee. The domains that hold the guarantee now
// come first. Otherwise domains with fewer assigned copies come first.
func (p *placer) candidates(r request) []string {
	if r.guarantee.Domain != "" {
		if _, ok := p.domains[r.guarantee.Domain]; !ok {
			return nil
		}
		return []string{r.guarantee.Domain}
	}
	names := slices.Clone(p.domainNames)
	slices.SortStableFunc(names, func(a, b string) int {
		holdsA, holdsB := slices.Contains(r.preferred, a), slices.Contains(r.preferred, b)
		switch {
		case holdsA && !holdsB:
			return -1
		case holdsB && !holdsA:
			return 1
		}
		return p.domains[a].copies - p.domains[b].copies
	})
	return names
}

// maxCopies returns how many additional copies of a guarantee, up to limit, a domain can hold.
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

// infeasibleError returns an error that names the nearest alternative that would fit. count is the
// number of copies that fit. If count is 0, the alternative is a gang with fewer members.
func (p *placer) infeasibleError(r request, count int) error {
	field := "tenant." + r.name + ".guarantee"
	shape := describeShape(r.guarantee.Shape)
	if count > 0 {
		return fault.NewField(fault.PlanInfeasible, field, "%d copies of %s do not fit beside the other guarantees; %d would fit", r.guarantee.Count, shape, count)
	}
	smaller := r
	smaller.guarantee.Count = 1
	for smaller.guarantee.Members > 1 {
		smaller.guarantee.Members--
		for _, name := range p.candidates(smaller) {
			if p.maxCopies(name, smaller, 1) == 1 {
				return fault.NewField(fault.PlanInfeasible, field, "no %s fits beside the other guarantees; the largest gang that fits is %s", shape, describeShape(smaller.guarantee.Shape))
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
