package dedup

import (
	"cmp"
	"time"
)

// Defaults of Options.
const (
	DefaultRetention       = 10 * time.Minute
	DefaultMembershipDelay = 5 * time.Second
	DefaultMaxClockSkew    = 2 * time.Second
	DefaultMaxRecords      = 200_000
)

// Options sets the times of the protocol; all entries of a cluster must have
// the same ones. Zero fields take the defaults.
type Options struct {
	// Retention is how long a home remembers a claim.
	Retention time.Duration
	// MembershipDelay is how long after its boot an entry is in every other entry's
	// view of the members.
	MembershipDelay time.Duration
	// MaxClockSkew bounds the difference between any two clocks involved.
	MaxClockSkew time.Duration
	// MaxRecords bounds the claims that a home remembers, at about
	// RecordBytes of memory each.
	MaxRecords int
}

// RecordBytes is about how much memory a remembered claim takes.
const RecordBytes = 128

// WithDefaults returns o with its zero fields set.
func (o Options) WithDefaults() Options {
	o.Retention = cmp.Or(o.Retention, DefaultRetention)
	o.MembershipDelay = cmp.Or(o.MembershipDelay, DefaultMembershipDelay)
	o.MaxClockSkew = cmp.Or(o.MaxClockSkew, DefaultMaxClockSkew)
	o.MaxRecords = cmp.Or(o.MaxRecords, DefaultMaxRecords)
	return o
}

// ClaimValid is how long after its claim was begun an entry may still send.
// Half of Retention leaves the other half for the exchange itself, so that no
// home has forgotten the id while a target may still be running the request.
func (o Options) ClaimValid() time.Duration { return o.Retention / 2 }
