package tlsreload

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// authority signs certificates for tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	a.key, a.cert, a.pem = a.sign("authority", true)
	return a
}

// sign creates a key and a certificate, which is self-signed if the authority has none yet.
func (a *authority) sign(name string, isCA bool) (*ecdsa.PrivateKey, *x509.Certificate, []byte) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(time.Now().UnixNano()),
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  isCA,
		BasicConstraintsValid: true,
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	parent, parentKey := a.cert, a.key
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), parentKey)
	require.NoError(a.t, err)
	cert, err := x509.ParseCertificate(der)
	require.NoError(a.t, err)
	return key, cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}

// write creates a certificate for a name and writes it, its key and the authority to a directory.
func (a *authority) write(dir, name string) Files {
	key, _, certPEM := a.sign(name, false)
	der, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	files := Files{
		Cert: filepath.Join(dir, "cert.pem"),
		Key:  filepath.Join(dir, "key.pem"),
		CA:   filepath.Join(dir, "ca.pem"),
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der})
	require.NoError(a.t, os.WriteFile(files.Cert, certPEM, 0o600))
	require.NoError(a.t, os.WriteFile(files.Key, keyPEM, 0o600))
	require.NoError(a.t, os.WriteFile(files.CA, a.pem, 0o600))
	return files
}

// touch sets the files' modification times, like a later write.
func touch(t *testing.T, files Files, at time.Time) {
	t.Helper()
	for _, path := range []string{files.Cert, files.Key, files.CA} {
		require.NoError(t, os.Chtimes(path, at, at))
	}
}

// connect connects once and returns the common name of the certificate that each end
// presented. The server writes a byte, because a TLS 1.3 client learns only on reading
// that the server refused its certificate.
func connect(t *testing.T, server, client *tls.Config) (serverName, clientName string, err error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	require.NoError(t, err)
	defer listener.Close()
	presented := make(chan string, 1)
	go func() {
		defer close(presented)
		plain, err := listener.Accept()
		if err != nil {
			return
		}
		defer plain.Close()
		if _, err := plain.Write([]byte{1}); err != nil {
			return
		}
		presented <- peerCommonName(plain.(*tls.Conn))
	}()
	dialled, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return "", "", err
	}
	defer dialled.Close()
	if _, err := dialled.Read(make([]byte, 1)); err != nil {
		return "", "", err
	}
	return peerCommonName(dialled), <-presented, nil
}

func peerCommonName(conn *tls.Conn) string {
	if certificates := conn.ConnectionState().PeerCertificates; len(certificates) > 0 {
		return certificates[0].Subject.CommonName
	}
	return ""
}

// checkAlways is an interval that has the files checked at every connection.
const checkAlways = time.Nanosecond

func TestRenewedCertificateIsServedWithoutRestart(t *testing.T) {
	a := newAuthority(t)
	dir := t.TempDir()
	files := a.write(dir, "before")
	var results []error
	r, err := New(files, checkAlways, func(err error) { results = append(results, err) })
	require.NoError(t, err)

	serverName, clientName, err := connect(t, r.ServerConfig(), r.ClientConfig("127.0.0.1"))
	require.NoError(t, err)
	assert.Equal(t, []string{"before", "before"}, []string{serverName, clientName})

	require.NoError(t, os.WriteFile(files.Cert, []byte("half written"), 0o600))
	touch(t, files, time.Now().Add(time.Minute))
	serverName, _, err = connect(t, r.ServerConfig(), r.ClientConfig("127.0.0.1"))
	require.NoError(t, err)
	assert.Equal(t, "before", serverName, "the previous certificate stays in use")

	a.write(dir, "after")
	touch(t, files, time.Now().Add(2*time.Minute))
	serverName, clientName, err = connect(t, r.ServerConfig(), r.ClientConfig("127.0.0.1"))
	require.NoError(t, err)
	assert.Equal(t, []string{"after", "after"}, []string{serverName, clientName})
	require.NotEmpty(t, results)
	assert.Error(t, results[0])
	assert.NoError(t, results[len(results)-1])
}

func TestMutualTLSRefuses(t *testing.T) {
	a, other := newAuthority(t), newAuthority(t)
	server, err := New(a.write(t.TempDir(), "server"), checkAlways, nil)
	require.NoError(t, err)
	tests := []struct {
		desc   string
		client func() *tls.Config
	}{
		{desc: "a client without a certificate", client: func() *tls.Config {
			config := server.ClientConfig("127.0.0.1")
			config.Certificates = nil
			return config
		}},
		{desc: "a client of another authority", client: func() *tls.Config {
			stranger, err := New(other.write(t.TempDir(), "stranger"), checkAlways, nil)
			require.NoError(t, err)
			config := stranger.ClientConfig("127.0.0.1")
			config.RootCAs = server.ClientConfig("").RootCAs
			return config
		}},
		{desc: "a server under another address", client: func() *tls.Config {
			return server.ClientConfig("10.0.0.1")
		}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			_, _, err := connect(t, server.ServerConfig(), test.client())
			assert.Error(t, err)
		})
	}
}

func TestDialerEstablishesTLS(t *testing.T) {
	a := newAuthority(t)
	r, err := New(a.write(t.TempDir(), "server"), 0, nil)
	require.NoError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		plain, err := listener.Accept()
		if err == nil {
			_, _ = tls.Server(plain, r.ServerConfig()).Write([]byte("hello"))
		}
	}()
	conn, err := r.Dialer((&net.Dialer{}).DialContext)(context.Background(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	got := make([]byte, 5)
	_, err = conn.Read(got)
	require.NoError(t, err)
	assert.Equal(t, "hello", string(got))
}
