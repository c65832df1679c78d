// Package tlsfiles serves TLS settings from PEM files and takes up new files
// without a restart. Certificates are rotated while daemons run; a daemon that
// kept the ones it read at start would be refused by its peers once those
// expire. Files are looked at again, at most once per interval, when a
// connection is made; a file that cannot be read or does not parse leaves the
// previous settings in force and is counted.
package tlsfiles
