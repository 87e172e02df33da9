package staticconfig

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/findings"
)

var secret = strings.Repeat("s", MinSecretBytes)

// validArgs returns the required flags, with valid values, and the extra arguments.
func validArgs(extra ...string) []string {
	return append([]string{
		"--instance=entry-1", "--failure-domain=hall-ikeja", "--platform-url=http://127.0.0.1:9001",
		"--peer-secret=" + secret, "--token-secret", secret,
	}, extra...)
}

func TestDefaults(t *testing.T) {
	cfg, err := Parse(validArgs())
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1:8080", cfg.ListenCallers.Value.String())
	assert.Equal(t, "127.0.0.1:8082", cfg.AdvertisePeers.Value.String())
	assert.Equal(t, 10*time.Minute, cfg.StreamTime.Value)
	assert.Nil(t, cfg.OTLPEndpoint.Value)
	assert.False(t, cfg.Check.Value)
}

func TestFlagOverridesVariable(t *testing.T) {
	t.Setenv("BASILRAIL_LISTEN_CALLERS", "127.0.0.1:1")
	t.Setenv("BASILRAIL_DRAIN_WAIT", "7s")
	t.Setenv("BASILRAIL_CHECK", "true")
	cfg, err := Parse(validArgs("--listen-callers", "127.0.0.1:2"))
	require.NoError(t, err)
	assert.EqualValues(t, 2, cfg.ListenCallers.Value.Port())
	assert.Equal(t, 7*time.Second, cfg.DrainWait.Value)
	assert.True(t, cfg.Check.Value)
}

func TestAllFindingsAreReported(t *testing.T) {
	t.Setenv("BASILRAIL_BODY_BYTES", "much")
	t.Setenv("BASILRAIL_TOKEN_SECRET", "too-short-to-be-told")
	_, err := Parse([]string{
		"--instance=entry 1", "--listen-callers", "localhost", "--listen-peers=127.0.0.1:8081",
		"--trace-sample=1.5", "--no-such", "value", "stray", "--callers-tls-cert=/none",
		"--log-level=loud", "--drain-timeout=1s", "--check=perhaps",
	})
	var list findings.List
	require.ErrorAs(t, err, &list)
	var places []string
	for _, f := range list {
		places = append(places, f.Place)
	}
	assert.ElementsMatch(t, []string{
		"--no-such",
		"command line",
		"--check ($BASILRAIL_CHECK)",
		"--instance ($BASILRAIL_INSTANCE)",
		"--failure-domain ($BASILRAIL_FAILURE_DOMAIN)",
		"--listen-callers ($BASILRAIL_LISTEN_CALLERS)",
		"--platform-url ($BASILRAIL_PLATFORM_URL)",
		"--peer-secret ($BASILRAIL_PEER_SECRET)",
		"--token-secret ($BASILRAIL_TOKEN_SECRET)",
		"--callers-tls-cert ($BASILRAIL_CALLERS_TLS_CERT)",
		"--log-level ($BASILRAIL_LOG_LEVEL)",
		"--trace-sample ($BASILRAIL_TRACE_SAMPLE)",
		"--body-bytes ($BASILRAIL_BODY_BYTES)",
		"--listen-peers ($BASILRAIL_LISTEN_PEERS)",
		"--drain-timeout ($BASILRAIL_DRAIN_TIMEOUT)",
	}, places)
	assert.NotContains(t, err.Error(), "too-short-to-be-told")
}

func TestCombinationsAreChecked(t *testing.T) {
	garbage := filepath.Join(t.TempDir(), "garbage.pem")
	require.NoError(t, os.WriteFile(garbage, []byte("garbage"), 0o600))
	tests := []struct {
		desc string
		args []string
		want string
	}{
		{
			desc: "key without certificate",
			args: []string{"--callers-tls-key", garbage},
			want: "--callers-tls-cert ($BASILRAIL_CALLERS_TLS_CERT): is required where the key is given",
		},
		{
			desc: "certificate that does not load",
			args: []string{"--operators-tls-key", garbage, "--operators-tls-cert", garbage},
			want: "--operators-tls-cert ($BASILRAIL_OPERATORS_TLS_CERT): does not load with its key",
		},
		{
			desc: "authorities without a certificate",
			args: []string{"--servers-tls-ca", garbage},
			want: "--servers-tls-ca ($BASILRAIL_SERVERS_TLS_CA): holds no certificate in PEM form",
		},
		{
			desc: "peer authorities without a certificate for this instance",
			args: []string{"--peers-tls-ca", garbage},
			want: "must be set if and only if the certificate is set",
		},
		{
			desc: "no address for peers to dial",
			args: []string{"--listen-peers=0.0.0.0:8082"},
			want: "--advertise-peers ($BASILRAIL_ADVERTISE_PEERS): is required",
		},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			_, err := Parse(validArgs(test.args...))
			assert.ErrorContains(t, err, test.want)
		})
	}
}

func TestSecretsAreNeverPrinted(t *testing.T) {
	cfg, err := Parse(validArgs())
	require.NoError(t, err)
	assert.NotContains(t, fmt.Sprintf("%v %+v %#v", *cfg, *cfg, cfg.PeerSecret.Value), secret)
}

func TestEveryFlagNamesItsVariableAndUnit(t *testing.T) {
	unit := regexp.MustCompile(`; (a switch|a name|ip:port|a URL|text|a path|a fraction from 0 to 1|a number|a duration|bytes|64 hexadecimal digits)\.`)
	var help strings.Builder
	exited := func(int) { panic("exit") }
	assert.PanicsWithValue(t, "exit", func() {
		_, _ = Parse([]string{"--help"}, kong.Writers(&help, &help), kong.Exit(exited))
	})
	app, err := newApp(&Config{}, nil)
	require.NoError(t, err)
	for _, flag := range app.Model.Flags {
		if flag.Name == "help" {
			continue
		}
		assert.Regexp(t, unit, flag.Help, flag.Name)
		assert.Equal(t, envPrefix+"_"+strings.ToUpper(strings.ReplaceAll(flag.Name, "-", "_")), flag.Envs[0])
		assert.Contains(t, help.String(), "$"+flag.Envs[0])
	}
}
