// Package endpoint parses the addresses of daemons in the forms that operators use.
package endpoint

import "strings"

// URL returns the base URL of an address, which is host:port or a URL. An address
// without a scheme gets http. Trailing slashes are removed.
func URL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimRight(address, "/")
}
