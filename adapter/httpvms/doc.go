// Package httpvms implements port.VMList by reading the platform's list as a
// JSON array of VMs over HTTP.
//
// If the platform sends an ETag with the list, later requests are conditional
// (If-None-Match) and the platform may respond with 304. Without an ETag, every
// request fetches the whole list. Responses may be compressed with gzip.
package httpvms
