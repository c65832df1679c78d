// Package etcdwire translates between port.Store and the messages of the etcd
// v3 API, and knows which of that API's refusals prove that a change was not
// made. The store adapter and the in-memory store share it.
package etcdwire
