// Package httpvms implements port.VMList by reading the platform's list as a
// JSON array of VMs over HTTP.
package httpvms
