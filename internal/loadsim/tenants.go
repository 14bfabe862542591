package loadsim

import (
	"cmp"
	"slices"
)

// tenantName returns the name of the tenant that submits a job.
func (l *Load) tenantName(a *arrival) string {
	if len(l.Tenants) == 0 {
		return "tenant"
	}
	return l.Tenants[a.tenant].Name
}

// tenantValues adds up the values of the jobs of each tenant.
type tenantValues struct {
	tenants            []Tenant
	jobs               []int
	attainable, earned []float64
}

func newTenantValues(tenants []Tenant) *tenantValues {
	n := len(tenants)
	return &tenantValues{tenants: tenants, jobs: make([]int, n), attainable: make([]float64, n), earned: make([]float64, n)}
}

// add counts a job of the tenant with the given index. It does nothing in loads without tenants.
func (v *tenantValues) add(tenant int, attainable, earned float64) {
	if len(v.tenants) == 0 {
		return
	}
	v.jobs[tenant]++
	v.attainable[tenant] += attainable
	v.earned[tenant] += earned
}

// results returns the outcome of each tenant.
func (v *tenantValues) results() []TenantResult {
	var results []TenantResult
	for i := range v.tenants {
		worth := v.earned[i] / max(v.attainable[i], minAttainable)
		results = append(results, TenantResult{Name: v.tenants[i].Name, Jobs: v.jobs[i], Worth: worth})
	}
	return results
}

// summarizeTenants returns the mean worth of the tenants with jobs, and of the worst-served tenth of
// them.
func summarizeTenants(results []TenantResult) (mean, worst float64) {
	var worths []float64
	for i := range results {
		if results[i].Jobs > 0 {
			worths = append(worths, results[i].Worth)
		}
	}
	if len(worths) == 0 {
		return 0, 0
	}
	slices.SortFunc(worths, cmp.Compare)
	lowest := worths[:(len(worths)+9)/10]
	return sum(worths) / float64(len(worths)), sum(lowest) / float64(len(lowest))
}
