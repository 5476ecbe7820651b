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

// Tenant is a customer of the cluster. A caller that presents one of its keys submits jobs on
// its behalf, and the resources of its running tasks count against its limit.
type Tenant struct {
	// Keys holds the digests of the keys (DigestKey). The keys themselves are not stored.
	Keys []string `json:"keys,omitempty"`
	// Limit is the maximum of the resources that the tenant's tasks use on all workers
	// together. A resource of 0 is not limited.
	Limit Resources `json:"limit,omitzero"`
}

// DigestKey returns the digest that identifies a key: its SHA-256 hash in hexadecimal. Keys
// are compared only by their digests, so that the duration of a comparison reveals nothing
// about a key.
func DigestKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// authorizationScheme is the scheme of an Authorization header that contains a key (RFC 6750).
const authorizationScheme = "Bearer"

// DigestOfAuthorization returns the digest of the key in an Authorization header, or an empty
// string if the header contains no key.
func DigestOfAuthorization(header string) string {
	scheme, key, found := strings.Cut(header, " ")
	if !found || !strings.EqualFold(scheme, authorizationScheme) {
		return ""
	}
	return DigestKey(strings.TrimSpace(key))
}

// TenantsByKey returns the names of the tenants by the digests of their keys.
func (c Config) TenantsByKey() map[string]string {
	tenants := map[string]string{}
	for name, tenant := range c.Tenants {
		for _, digest := range tenant.Keys {
			tenants[digest] = name
		}
	}
	return tenants
}

// RequiresKey reports whether calls on a class must present a tenant's key.
func (c Config) RequiresKey(service, class string) bool {
	return c.Services[service].Classes[class].RequiresKey
}

// tenantViolations reports keys that belong to more than one tenant.
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
