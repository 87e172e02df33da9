// Package staticconfig reads the configuration of a process from flags and
// environment variables. It is fixed until the process exits; settings that
// operators change at run time are in package settings.
package staticconfig

// The log formats.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// Config is the static configuration of one instance. Each flag is also read
// from the environment variable BASILRAIL_<FLAG>; the flag takes precedence.
type Config struct {
	Check Switch `help:"Check the flags and exit without serving; a switch."`

	Instance      Name `help:"Id of this entry instance, unique in the fleet; a name." need:"true" group:"Identity"`
	FailureDomain Name `help:"Failure domain this instance runs in; a name." need:"true" group:"Identity"`

	ListenCallers   Address `help:"Address that serves callers; ip:port." default:"127.0.0.1:8080" group:"Addresses"`
	ListenOperators Address `help:"Address that serves operators, health and metrics; ip:port." default:"127.0.0.1:8081" group:"Addresses"`
	ListenPeers     Address `help:"Address that serves the other entry instances; ip:port." default:"127.0.0.1:8082" group:"Addresses"`
	AdvertisePeers  Address `help:"Address at which other entry instances reach this one, if not the listening one; ip:port." group:"Addresses"`
	PlatformURL     URL     `help:"Table, object and membership service of the platform; a URL." need:"true" group:"Addresses"`
	RatingURL       URL     `help:"Service that rates answers; a URL. Without it no answer is rated." group:"Addresses"`

	PeerSecret  SecretText `help:"Secret shared by all entry instances, of at least 32 bytes; text. Prefer the variable: flags show in process lists." need:"true" group:"Secrets"`
	TokenSecret SecretText `help:"Master secret of the session tokens, of at least 32 bytes; text. Prefer the variable: flags show in process lists." need:"true" group:"Secrets"`

	BootstrapKeySHA256 KeySum `name:"bootstrap-key-sha256" env:"BASILRAIL_BOOTSTRAP_KEY_SHA256" help:"SHA-256 of a key that may apply the first settings, while there are none; 64 hexadecimal digits." group:"Secrets"`

	CallersTLS   ServerTLS `embed:"" prefix:"callers-tls-" group:"TLS"`
	OperatorsTLS ServerTLS `embed:"" prefix:"operators-tls-" group:"TLS"`
	PeersTLS     MutualTLS `embed:"" prefix:"peers-tls-" group:"TLS"`
	ServersTLS   ClientTLS `embed:"" prefix:"servers-tls-" group:"TLS"`
	PlatformTLS  ClientTLS `embed:"" prefix:"platform-tls-" group:"TLS"`

	LogLevel  Level  `help:"Least level that is logged: error, warning, info or debug; a name." default:"info" group:"Observing"`
	LogFormat Format `help:"Form of the log lines: text or json; a name." default:"text" group:"Observing"`

	OTLPEndpoint   URL      `name:"otlp-endpoint" help:"Collector that traces are sent to by OTLP over HTTP; a URL. Without it no trace leaves the process." group:"Observing"`
	TraceSample    Fraction `help:"Part of the traces that is sent to the collector; a fraction from 0 to 1." default:"0.01" group:"Observing"`
	ExplainRecords Count    `help:"Requests whose record is kept in memory for explain; a number." default:"4096" group:"Observing"`

	RatingRate Count `help:"Ratings a second that the rating service gives the whole fleet; a number." default:"50" group:"Requests"`

	SessionLifetime Duration `help:"Time for which a session token is valid; a duration." default:"24h" group:"Requests"`

	HeaderBytes           Bytes    `help:"Largest request header; bytes." default:"32768" group:"Limits"`
	BodyBytes             Bytes    `help:"Largest request body; bytes." default:"4194304" group:"Limits"`
	StreamTime            Duration `help:"Longest time a request may take, streams included; a duration." default:"10m" group:"Limits"`
	HeaderTimeout         Duration `help:"Time a caller has to send its header; a duration." default:"5s" group:"Limits"`
	BodyTimeout           Duration `help:"Time a caller has to send its body; a duration." default:"30s" group:"Limits"`
	WriteTimeout          Duration `help:"Time a caller has to take each piece of an answer; a duration." default:"30s" group:"Limits"`
	IdleTimeout           Duration `help:"Time an idle connection is kept; a duration." default:"2m" group:"Limits"`
	ConnectionsPerAccount Count    `help:"Requests in flight of one client account at this instance, where the settings name none; a number." default:"256" group:"Limits"`

	DrainWait    Duration `help:"Time between leaving the balancer and refusing new requests; a duration." default:"5s" group:"Leaving"`
	DrainTimeout Duration `help:"Longest time to finish the requests in flight when leaving; a duration." default:"11m" group:"Leaving"`
}

// ServerTLS is the certificate and key of a listener. Both files must be set, or
// neither.
type ServerTLS struct {
	Cert File `help:"Certificate chain of the listener, PEM; a path."`
	Key  File `help:"Private key of the listener, PEM; a path."`
}

// MutualTLS is the certificate and key for both ends of peer connections, and the
// authorities that sign the peers' certificates. All files must be set, or none.
type MutualTLS struct {
	Cert File `help:"Certificate chain shown to other entry instances, PEM; a path."`
	Key  File `help:"Private key of the certificate, PEM; a path."`
	CA   File `name:"ca" help:"Authorities that sign the other instances' certificates, PEM; a path."`
}

// ClientTLS holds the authorities with which the servers that this process calls are
// verified, and the optional client certificate with its key.
type ClientTLS struct {
	CA   File `name:"ca" help:"Authorities that sign the called servers' certificates, PEM; a path. Without it the system's."`
	Cert File `help:"Certificate chain shown to the called servers, PEM; a path."`
	Key  File `help:"Private key of the certificate, PEM; a path."`
}
