package pool

import "github.com/wheatroad/wheatroad/internal/knowledge"

// TenantUse returns the section of kept knowledge that holds what the tenants have used.
func (p *Pool) TenantUse() knowledge.Section { return p.tenantUse }
