// Package httpvms implements port.VMList by reading the platform's list as a
// JSON array of VMs over HTTP.
//
// A platform that gives the list an ETag is asked only for a changed list and
// may answer 304; one that gives none is asked for all of it each time. Answers
// may be compressed by gzip.
package httpvms
