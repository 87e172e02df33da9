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

// envPrefix is the prefix of every environment variable.
const envPrefix = "BASILRAIL"

// flagPrefix is the prefix of every flag.
const flagPrefix = "--"

// Parse parses the arguments (without the program's name) and the environment.
// Invalid input gives a findings.List with all errors, each placed at its flag and
// variable. With --help it prints the help and exits.
func Parse(args []string, options ...kong.Option) (*Config, error) {
	cfg := &Config{}
	app, err := newApp(cfg, options)
	if err != nil {
		return nil, errors.Wrap(err, "build the command line")
	}
	v := &validator{flags: flagsByName(app)}
	known := v.knownArgs(args)
	if _, err := app.Parse(known); err != nil {
		v.findings.Add("command line", "%v", err)
		return nil, v.findings
	}
	v.checkValues(app)
	v.checkCombinations(cfg)
	if err := v.findings.Err(); err != nil {
		return nil, err
	}
	if !cfg.AdvertisePeers.Value.IsValid() {
		cfg.AdvertisePeers.Value = cfg.ListenPeers.Value
	}
	return cfg, nil
}

func newApp(cfg *Config, options []kong.Option) (*kong.Kong, error) {
	baseOptions := []kong.Option{
		kong.Name("basilraild"),
		kong.Description("An entry instance of basilrail, a model-aware router."),
		kong.DefaultEnvars(envPrefix),
	}
	app, err := kong.New(cfg, append(baseOptions, options...)...)
	if err != nil {
		return nil, err
	}
	for _, flag := range app.Model.Flags {
		if value, ok := flag.Target.Addr().Interface().(placeholderProvider); ok && !flag.HasDefault {
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

// validator collects the findings of one command line.
type validator struct {
	flags    map[string]*kong.Flag
	findings findings.List
}

// knownArgs reports arguments that are not flags of the program, and returns the
// others, so that these can still be checked.
func (v *validator) knownArgs(args []string) []string {
	var known []string
	for i := 0; i < len(args); i++ {
		name, _, hasValue := strings.Cut(args[i], "=")
		flag, ok := v.flags[strings.TrimPrefix(name, flagPrefix)]
		takesNext := !hasValue && i+1 < len(args) && !strings.HasPrefix(args[i+1], flagPrefix)
		switch {
		case name == "-h":
			known = append(known, args[i])
		case !strings.HasPrefix(name, "-"):
			v.findings.Add("command line", "unexpected argument")
		case !ok:
			v.findings.Add(name, "unknown flag")
			if takesNext {
				i++
			}
		case takesNext && !flag.IsBool():
			known = append(known, args[i], args[i+1])
			i++
		default:
			known = append(known, args[i])
		}
	}
	return known
}

// checkValues reports flags whose value is invalid or that are required but missing.
func (v *validator) checkValues(app *kong.Kong) {
	for _, flag := range app.Model.Flags {
		value, ok := flag.Target.Addr().Interface().(flagValue)
		if !ok {
			continue
		}
		if err := value.parseError(); err != nil {
			v.addFinding(flag.Name, err.Error())
			continue
		}
		if flag.Tag.Get("need") != "" && !flag.Set {
			v.addFinding(flag.Name, "is required")
		}
	}
}

// addFinding adds a finding at a flag and its variable.
func (v *validator) addFinding(flag, problem string) {
	v.findings.Add(place(v.flags[flag]), "%s", problem)
}

// place returns a flag and its variable as "--flag ($VARIABLE)".
func place(flag *kong.Flag) string {
	return flagPrefix + flag.Name + " ($" + flag.Envs[0] + ")"
}

// checkCombinations checks constraints that involve several flags or files.
func (v *validator) checkCombinations(cfg *Config) {
	v.checkListeners(cfg)
	v.checkKeyPair("callers-tls-", cfg.CallersTLS.Cert, cfg.CallersTLS.Key)
	v.checkKeyPair("operators-tls-", cfg.OperatorsTLS.Cert, cfg.OperatorsTLS.Key)
	v.checkKeyPair("peers-tls-", cfg.PeersTLS.Cert, cfg.PeersTLS.Key)
	v.checkKeyPair("servers-tls-", cfg.ServersTLS.Cert, cfg.ServersTLS.Key)
	v.checkKeyPair("platform-tls-", cfg.PlatformTLS.Cert, cfg.PlatformTLS.Key)
	v.checkCAFile("peers-tls-ca", cfg.PeersTLS.CA)
	v.checkCAFile("servers-tls-ca", cfg.ServersTLS.CA)
	v.checkCAFile("platform-tls-ca", cfg.PlatformTLS.CA)
	if (cfg.PeersTLS.CA.Value == "") != (cfg.PeersTLS.Cert.Value == "") {
		v.addFinding("peers-tls-ca", "must be set if and only if the certificate is set")
	}
	if cfg.AdvertisePeers.parseErr == nil && !hasDialablePeerAddress(cfg) {
		v.addFinding("advertise-peers", "is required where peers are served on every address or on any port")
	}
	if cfg.DrainTimeout.Value > 0 && cfg.DrainTimeout.Value < cfg.StreamTime.Value {
		v.addFinding("drain-timeout", "must be at least the stream time, or shutdown would cut off streams")
	}
}

// hasDialablePeerAddress reports whether the address advertised to peers, which is the
// listening address if none is set, can be dialled. An invalid listening address counts
// as dialable: checkValues reports it.
func hasDialablePeerAddress(cfg *Config) bool {
	address := cfg.AdvertisePeers.Value
	if !address.IsValid() {
		address = cfg.ListenPeers.Value
	}
	return !address.IsValid() || !address.Addr().IsUnspecified() && address.Port() != 0
}

// checkListeners reports listeners with the same address. Port 0 is exempt: the
// system assigns a free port.
func (v *validator) checkListeners(cfg *Config) {
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
			v.addFinding(l.flag, "is the same address as "+flagPrefix+other)
		}
		seen[l.address] = l.flag
	}
}

// checkKeyPair reports a certificate without a key, a key without a certificate, and
// files that don't load as a key pair.
func (v *validator) checkKeyPair(prefix string, cert, key File) {
	if cert.parseErr != nil || key.parseErr != nil {
		return
	}
	switch {
	case cert.Value == "" && key.Value == "":
	case cert.Value == "":
		v.addFinding(prefix+"cert", "is required where the key is given")
	case key.Value == "":
		v.addFinding(prefix+"key", "is required where the certificate is given")
	default:
		if _, err := tls.LoadX509KeyPair(cert.Value, key.Value); err != nil {
			v.addFinding(prefix+"cert", "does not load with its key: "+err.Error())
		}
	}
}

// checkCAFile reports a file that is set but contains no PEM certificate.
func (v *validator) checkCAFile(flag string, file File) {
	if file.Value == "" {
		return
	}
	pem, err := os.ReadFile(file.Value)
	if err != nil || !x509.NewCertPool().AppendCertsFromPEM(pem) {
		v.addFinding(flag, "holds no certificate in PEM form")
	}
}
