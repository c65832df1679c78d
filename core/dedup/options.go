package dedup

import (
	"cmp"
	"time"
)

// Default values of Options.
const (
	DefaultRetention       = 10 * time.Minute
	DefaultMembershipDelay = 5 * time.Second
	DefaultMaxClockSkew    = 2 * time.Second
	DefaultMaxRecords      = 200_000
)

// Options sets the times of the protocol. All entries of a cluster must use the
// same values. Zero fields take the defaults.
type Options struct {
	// Retention is how long a home keeps a claim.
	Retention time.Duration
	// MembershipDelay is the time after its boot within which an entry is in
	// every other entry's view of the members.
	MembershipDelay time.Duration
	// MaxClockSkew bounds the difference between any two clocks involved.
	MaxClockSkew time.Duration
	// MaxRecords limits the claims that a home keeps, at about RecordBytes of
	// memory each.
	MaxRecords int
}

// RecordBytes is the approximate memory, in bytes, of one recorded claim.
const RecordBytes = 128

// WithDefaults returns o with its zero fields set to the defaults.
func (o Options) WithDefaults() Options {
	o.Retention = cmp.Or(o.Retention, DefaultRetention)
	o.MembershipDelay = cmp.Or(o.MembershipDelay, DefaultMembershipDelay)
	o.MaxClockSkew = cmp.Or(o.MaxClockSkew, DefaultMaxClockSkew)
	o.MaxRecords = cmp.Or(o.MaxRecords, DefaultMaxRecords)
	return o
}

// ClaimValid is how long after the start of its claim an entry may still send
// the request. Half of Retention leaves the other half for the exchange itself,
// so that no home has forgotten the ID while a target may still be running the
// request.
func (o Options) ClaimValid() time.Duration { return o.Retention / 2 }
