// Package tlsfiles provides TLS configurations from PEM files and reloads changed
// files without a restart. Certificates are rotated while daemons run; the peers
// of a daemon that kept the certificates read at startup would reject it once
// those expire. The files are read again when a connection is made, at most once
// per interval. If a file cannot be read or parsed, the previous certificates
// stay in use and the failure is counted.
package tlsfiles
