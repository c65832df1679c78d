// Package routing chooses which instance of a service gets a request.
package routing
