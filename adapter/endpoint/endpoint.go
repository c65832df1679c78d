// Package endpoint reads the addresses of daemons as operators write them.
package endpoint

import "strings"

// URL returns the base URL of an address, which is host:port or a URL.
func URL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimRight(address, "/")
}
