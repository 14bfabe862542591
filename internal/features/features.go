// Package features decides which optional scheduling policies a deployment uses. Operators set a
// mode for each policy. In mode Auto the confirmed configuration decides. The package reads no
// clock and does no I/O.
package features

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/wheatroad/wheatroad/internal/catalog"
)

// Mode says whether a policy is used.
type Mode string

// The modes.
const (
	// Auto uses the policy if the configuration calls for it.
	Auto Mode = "auto"
	On   Mode = "on"
	Off  Mode = "off"
)

// Modes returns all modes.
func Modes() []Mode { return []Mode{Auto, On, Off} }

// ParseMode returns the mode with the given name. The empty name means Auto.
func ParseMode(name string) (Mode, error) {
	if name == "" {
		return Auto, nil
	}
	if !slices.Contains(Modes(), Mode(name)) {
		return Auto, errors.Newf("mode %q is not known; must be auto, on or off", name)
	}
	return Mode(name), nil
}

// Settings holds the mode of each policy. The zero value means Auto for all.
type Settings struct {
	// TenantSharing orders the waiting work of equal priority by the tenants' shares of the pool.
	TenantSharing Mode
}

// AllOff returns settings without any policy, whatever the configuration.
func AllOff() Settings {
	return Settings{TenantSharing: Off}
}

// tenantSharing is the name of the policy in command lines.
const tenantSharing = "tenant-sharing"

// Only returns settings with just the named policy.
func Only(policy string) (Settings, error) {
	if policy != tenantSharing {
		return Settings{}, errors.Newf("policy %q is not known", policy)
	}
	return Settings{TenantSharing: On}, nil
}

// Set tells which policies are in use.
type Set struct {
	TenantSharing bool `json:"tenant_sharing"`
}

// Resolve returns the policies in use under a configuration; configuration may be nil. In mode Auto
// tenants share by weight if tenants of very different size compete for the pool.
func Resolve(settings Settings, configuration *catalog.Catalog) Set {
	uneven := configuration != nil && UnevenGuarantees(configuration.Tenants)
	return Set{TenantSharing: settings.TenantSharing.enabled(uneven)}
}

func (m Mode) enabled(calledFor bool) bool {
	switch m {
	case On:
		return true
	case Off:
		return false
	}
	return calledFor
}

// unevenRatio is the ratio of the largest guarantee to the mean from which guarantees are uneven. A
// burst of so large a tenant alone can take what several others are guaranteed together.
const unevenRatio = 3

// UnevenGuarantees reports whether the guarantees of the tenants differ so much that order of
// arrival lets large tenants crowd out small ones. Only accelerators are compared.
func UnevenGuarantees(tenants []catalog.Tenant) bool {
	total, largest := 0, 0
	for i := range tenants {
		total += tenants[i].Guaranteed.GPUs
		largest = max(largest, tenants[i].Guaranteed.GPUs)
	}
	return largest*len(tenants) > unevenRatio*total
}
