package staticconfig

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/findings"
)

// envPrefix begins the name of every environment variable.
const envPrefix = "BASILRAIL"

// flagPrefix begins every flag.
const flagPrefix = "--"

// Parse reads the arguments (without the program's name) and the environment.
// The error is a findings.List with every fault, each placed at its flag and
// variable. With --help it prints the help and exits.
func Parse(args []string, options ...kong.Option) (*Config, error) {
	cfg := &Config{}
	app, err := newApp(cfg, options)
	if err != nil {
		return nil, errors.Wrap(err, "build the command line")
	}
	r := &reader{flags: flagsByName(app)}
	kept := r.known(args)
	if _, err := app.Parse(kept); err != nil {
		r.faults.Add("command line", "%v", err)
		return nil, r.faults
	}
	r.values(app)
	r.rules(cfg)
	if err := r.faults.Err(); err != nil {
		return nil, err
	}
	if !cfg.AdvertisePeers.Value.IsValid() {
		cfg.AdvertisePeers.Value = cfg.ListenPeers.Value
	}
	return cfg, nil
}

func newApp(cfg *Config, options []kong.Option) (*kong.Kong, error) {
	own := []kong.Option{
		kong.Name("basilraild"),
		kong.Description("An entry instance of basilrail, a model-aware router."),
		kong.DefaultEnvars(envPrefix),
	}
	app, err := kong.New(cfg, append(own, options...)...)
	if err != nil {
		return nil, err
	}
	for _, flag := range app.Model.Flags {
		if value, ok := flag.Target.Addr().Interface().(placeholding); ok && !flag.HasDefault {
			flag.PlaceHolder = value.placeholder()
		}
	}
	return app, nil
}

func flagsByName(app *kong.Kong) map[string]*kong.Flag {
	flags := make(map[string]*kong.Flag)
	for _, flag := range app.Model.Flags {
		flags[flag.Name] = flag
	}
	return flags
}

// reader collects the faults of one command line.
type reader struct {
	flags  map[string]*kong.Flag
	faults findings.List
}

// known drops, and reports, arguments that are no flag of the program, so that
// the rest can still be checked.
func (r *reader) known(args []string) []string {
	var kept []string
	for i := 0; i < len(args); i++ {
		name, _, hasValue := strings.Cut(args[i], "=")
		flag, ok := r.flags[strings.TrimPrefix(name, flagPrefix)]
		takesNext := !hasValue && i+1 < len(args) && !strings.HasPrefix(args[i+1], flagPrefix)
		switch {
		case name == "-h":
			kept = append(kept, args[i])
		case !strings.HasPrefix(name, "-"):
			r.faults.Add("command line", "unexpected argument")
		case !ok:
			r.faults.Add(name, "unknown flag")
			if takesNext {
				i++
			}
		case takesNext && !flag.IsBool():
			kept = append(kept, args[i], args[i+1])
			i++
		default:
			kept = append(kept, args[i])
		}
	}
	return kept
}

// values reports each flag whose text can't be read, or that is missing.
func (r *reader) values(app *kong.Kong) {
	for _, flag := range app.Model.Flags {
		value, ok := flag.Target.Addr().Interface().(faulty)
		if !ok {
			continue
		}
		if err := value.fault(); err != nil {
			r.add(flag.Name, err.Error())
			continue
		}
		if flag.Tag.Get("need") != "" && !flag.Set {
			r.add(flag.Name, "is required")
		}
	}
}

// add reports a fault at a flag and its variable.
func (r *reader) add(flag, problem string) {
	r.faults.Add(place(r.flags[flag]), "%s", problem)
}

func place(flag *kong.Flag) string {
	return flagPrefix + flag.Name + " ($" + flag.Envs[0] + ")"
}

// rules checks what no single flag can tell.
func (r *reader) rules(cfg *Config) {
	r.distinct(cfg)
	r.pair("callers-tls-", cfg.CallersTLS.Cert, cfg.CallersTLS.Key)
	r.pair("operators-tls-", cfg.OperatorsTLS.Cert, cfg.OperatorsTLS.Key)
	r.pair("peers-tls-", cfg.PeersTLS.Cert, cfg.PeersTLS.Key)
	r.pair("servers-tls-", cfg.ServersTLS.Cert, cfg.ServersTLS.Key)
	r.pair("platform-tls-", cfg.PlatformTLS.Cert, cfg.PlatformTLS.Key)
	r.authorities("peers-tls-ca", cfg.PeersTLS.CA)
	r.authorities("servers-tls-ca", cfg.ServersTLS.CA)
	r.authorities("platform-tls-ca", cfg.PlatformTLS.CA)
	if (cfg.PeersTLS.CA.Value == "") != (cfg.PeersTLS.Cert.Value == "") {
		r.add("peers-tls-ca", "is given together with the certificate, or not at all")
	}
	if cfg.AdvertisePeers.problem == nil && !reachable(cfg) {
		r.add("advertise-peers", "is required where peers are served on every address or on any port")
	}
	if cfg.DrainTimeout.Value > 0 && cfg.DrainTimeout.Value < cfg.StreamTime.Value {
		r.add("drain-timeout", "must be at least the stream time, or leaving would cut streams")
	}
}

// reachable reports whether peers are told an address that they can dial.
func reachable(cfg *Config) bool {
	address := cfg.AdvertisePeers.Value
	if !address.IsValid() {
		address = cfg.ListenPeers.Value
	}
	return !address.IsValid() || !address.Addr().IsUnspecified() && address.Port() != 0
}

// distinct reports listeners that share an address; port 0 takes any free one.
func (r *reader) distinct(cfg *Config) {
	seen := make(map[netip.AddrPort]string)
	listeners := []struct {
		flag    string
		address netip.AddrPort
	}{
		{"listen-callers", cfg.ListenCallers.Value},
		{"listen-operators", cfg.ListenOperators.Value},
		{"listen-peers", cfg.ListenPeers.Value},
	}
	for _, l := range listeners {
		if !l.address.IsValid() || l.address.Port() == 0 {
			continue
		}
		if other, taken := seen[l.address]; taken {
			r.add(l.flag, "is the same address as "+flagPrefix+other)
		}
		seen[l.address] = l.flag
	}
}

// pair reports a certificate without a key, a key without a certificate, and
// files that don't belong together.
func (r *reader) pair(prefix string, cert, key File) {
	if cert.problem != nil || key.problem != nil {
		return
	}
	switch {
	case cert.Value == "" && key.Value == "":
	case cert.Value == "":
		r.add(prefix+"cert", "is required where the key is given")
	case key.Value == "":
		r.add(prefix+"key", "is required where the certificate is given")
	default:
		if _, err := tls.LoadX509KeyPair(cert.Value, key.Value); err != nil {
			r.add(prefix+"cert", "does not load with its key: "+err.Error())
		}
	}
}

func (r *reader) authorities(flag string, file File) {
	if file.Value == "" {
		return
	}
	pem, err := os.ReadFile(file.Value)
	if err != nil || !x509.NewCertPool().AppendCertsFromPEM(pem) {
		r.add(flag, "holds no certificate in PEM form")
	}
}
