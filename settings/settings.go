package settings

import "time"

// Daemon holds all settings of guavarilld. The tags of each field define its flag,
// environment variable, default and description.
type Daemon struct {
	Cluster string `long:"cluster" env:"GUAVARILL_CLUSTER" description:"name of the cluster; keys in the store and calls between daemons carry it (required)"`
	ID      string `long:"id" env:"GUAVARILL_ID" description:"this daemon's name, unique within the cluster; default: the VM's host name"`
	Zone    string `long:"zone" env:"GUAVARILL_ZONE" description:"availability zone of this VM (required)"`

	ListenCallers string `long:"listen-callers" env:"GUAVARILL_LISTEN_CALLERS" default:"0.0.0.0:8080" description:"host:port on which callers' requests are taken"`
	ListenAdmin   string `long:"listen-admin" env:"GUAVARILL_LISTEN_ADMIN" default:"127.0.0.1:8081" description:"host:port of the operators' interface and the metrics"`
	ListenPeers   string `long:"listen-peers" env:"GUAVARILL_LISTEN_PEERS" default:"0.0.0.0:8082" description:"host:port on which other daemons are answered"`
	PeerAddress   string `long:"peer-address" env:"GUAVARILL_PEER_ADDRESS" description:"host:port under which other daemons reach --listen-peers, an IP number; default: the address listened on (required when that is a wildcard)"`

	Store        string        `long:"store" env:"GUAVARILL_STORE" description:"host:port of the platform's key-value service (required)"`
	VMList       string        `long:"vm-list" env:"GUAVARILL_VM_LIST" description:"URL of the platform's list of VMs (required)"`
	StoreTimeout time.Duration `long:"store-timeout" env:"GUAVARILL_STORE_TIMEOUT" default:"2s" description:"deadline of one call of the store; at most a third of --lease-ttl"`

	StoreReads  float64 `long:"store-reads" env:"GUAVARILL_STORE_READS" default:"1500" description:"reads a second that all daemons together may make of the store"`
	StoreWrites float64 `long:"store-writes" env:"GUAVARILL_STORE_WRITES" default:"300" description:"writes a second that all daemons together may make of the store"`

	LeaseTTL       time.Duration `long:"lease-ttl" env:"GUAVARILL_LEASE_TTL" default:"10s" description:"time of this daemon's lease in the store, at least 3s; a dead daemon's shards are taken over after it"`
	TaskLease      time.Duration `long:"task-lease" env:"GUAVARILL_TASK_LEASE" default:"30s" description:"time of a task's lease on its worker, at least 3s; a task on a lost worker resumes elsewhere after it; the same on all daemons"`
	OutageGrace    time.Duration `long:"outage-grace" env:"GUAVARILL_OUTAGE_GRACE" default:"20s" description:"how old other daemons' word that the store is silent may be for an owner whose lease has ended to go on renewing its tasks' leases; a new owner waits so much longer for a worker that it cannot reach; the same on all daemons"`
	BalancerNotice time.Duration `long:"balancer-notice" env:"GUAVARILL_BALANCER_NOTICE" default:"5s" description:"how long a planned stop goes on accepting requests after /readyz fails; longer than the balancer takes to notice"`
	DrainTimeout   time.Duration `long:"drain-timeout" env:"GUAVARILL_DRAIN_TIMEOUT" default:"60s" description:"how long a planned stop may take in all; requests still in flight then are cut off; longer than --balancer-notice"`
	RacksPerShard  int           `long:"racks-per-shard" env:"GUAVARILL_RACKS_PER_SHARD" default:"2" description:"racks whose workers share one ledger; the same on all daemons"`

	MaxBodyBytes int64 `long:"max-body-bytes" env:"GUAVARILL_MAX_BODY_BYTES" default:"1048576" description:"largest body of a caller's request, bytes"`

	TLSCert string `long:"tls-cert" env:"GUAVARILL_TLS_CERT" description:"file with this daemon's certificate towards other daemons, PEM; read again when it changes"`
	TLSKey  string `long:"tls-key" env:"GUAVARILL_TLS_KEY" description:"file with the certificate's key, PEM"`
	TLSCA   string `long:"tls-ca" env:"GUAVARILL_TLS_CA" description:"file with the certificates that other daemons' must be signed by, PEM"`

	LogFormat string `long:"log-format" env:"GUAVARILL_LOG_FORMAT" default:"text" choice:"text" choice:"json" description:"form of log lines"`
	LogLevel  string `long:"log-level" env:"GUAVARILL_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level that is logged"`

	TimelineEvents int    `long:"timeline-events" env:"GUAVARILL_TIMELINE_EVENTS" default:"5000" description:"events of the time line that are kept in memory"`
	Seed           uint64 `long:"seed" env:"GUAVARILL_SEED" description:"seed of random choices; 0 takes the time of the start"`
}
