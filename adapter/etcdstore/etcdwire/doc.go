// Package etcdwire converts between the types of port.Store and the messages of
// the etcd v3 API, and determines which of that API's error statuses prove that
// a change was not made. The store adapter and the in-memory store share it.
package etcdwire
