package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"

	"sorrelloom/core/status"
)

// Tenant is a customer of the cluster: who presents one of its keys submits jobs in its
// name, and what its jobs have running counts against its limit.
type Tenant struct {
	// Keys are the digests of the keys (DigestKey). The keys themselves are not stored.
	Keys []string `json:"keys,omitempty"`
	// Limit is what the tenant may have running on all workers together. A resource of 0
	// is not limited.
	Limit Resources `json:"limit,omitzero"`
}

// DigestKey returns the digest by which a key is known: SHA-256, in hexadecimal digits.
// Keys are compared by their digests only, so that the time that a comparison takes says
// nothing about a key.
func DigestKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// authorizationScheme is that of the Authorization headers that carry a key (RFC 6750).
const authorizationScheme = "Bearer"

// DigestOfAuthorization returns the digest of the key in an Authorization header, empty if
// there is none.
func DigestOfAuthorization(header string) string {
	scheme, key, found := strings.Cut(header, " ")
	if !found || !strings.EqualFold(scheme, authorizationScheme) {
		return ""
	}
	return DigestKey(strings.TrimSpace(key))
}

// TenantsByKey returns the name of the tenant that each key's digest belongs to.
func (c Config) TenantsByKey() map[string]string {
	tenants := map[string]string{}
	for name, tenant := range c.Tenants {
		for _, digest := range tenant.Keys {
			tenants[digest] = name
		}
	}
	return tenants
}

// RequiresKey reports whether calls on a class must present the key of a tenant.
func (c Config) RequiresKey(service, class string) bool {
	return c.Services[service].Classes[class].RequiresKey
}

// tenantViolations reports the keys that belong to two tenants.
func (c Config) tenantViolations() []Violation {
	var violations []Violation
	owners := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Tenants)) {
		for i, digest := range c.Tenants[name].Keys {
			if owner, taken := owners[digest]; taken && owner != name {
				path := fmt.Sprintf("/tenants/%s/keys/%d", name, i)
				violations = append(violations, Violation{status.InvalidConfig, path, "tenant " + owner + " has this key"})
			}
			owners[digest] = name
		}
	}
	return violations
}
