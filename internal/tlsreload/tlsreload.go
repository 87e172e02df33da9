// Package tlsreload serves and verifies TLS with certificates that are read
// anew when their files change, so that a renewed certificate needs no restart.
// While the new files can't be read the earlier certificate stays in use.
package tlsreload

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// DefaultInterval is the least time between two looks at the files.
const DefaultInterval = 10 * time.Second

// Files are the paths of PEM files; an empty path means none.
type Files struct {
	Cert string
	Key  string
	// CA holds the authorities that the other end's certificate is verified with.
	CA string
}

// material is what one reading of the files gave. It never changes.
type material struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
	modified    [3]time.Time
}

// Reloader holds the current certificates. It is safe for concurrent use.
type Reloader struct {
	files    Files
	interval time.Duration
	// reloaded is told the result of each reading after the first.
	reloaded func(error)

	mu      sync.Mutex
	current *material
	looked  time.Time
}

// New reads the files. Later they are looked at when a connection begins, at
// most once an interval; zero takes DefaultInterval. The callback, which may be
// nil, is told of each later reading, with an error if it failed.
func New(files Files, interval time.Duration, reloaded func(error)) (*Reloader, error) {
	if interval <= 0 {
		interval = DefaultInterval
	}
	if reloaded == nil {
		reloaded = func(error) {}
	}
	first, err := read(files)
	if err != nil {
		return nil, err
	}
	return &Reloader{files: files, interval: interval, reloaded: reloaded, current: first, looked: time.Now()}, nil
}

// ServerConfig is the TLS configuration of a listener. With authorities in the
// files, clients must show a certificate that they signed.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return r.serverConfig(), nil
		},
		// Never used, but a listener wants a certificate to begin with.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.get().certificate, nil
		},
	}
}

func (r *Reloader) serverConfig() *tls.Config {
	m := r.get()
	config := &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}}
	if m.certificate != nil {
		config.Certificates = []tls.Certificate{*m.certificate}
	}
	if m.authorities != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = m.authorities
	}
	return config
}

// ClientConfig is the TLS configuration for one new connection to a server
// whose name or address is given.
func (r *Reloader) ClientConfig(serverName string) *tls.Config {
	m := r.get()
	config := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: serverName, RootCAs: m.authorities}
	if m.certificate != nil {
		config.Certificates = []tls.Certificate{*m.certificate}
	}
	return config
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer wraps a dial function with TLS; it fits http.Transport.DialTLSContext.
func (r *Reloader) Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Wrap(err, "split address")
		}
		plain, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		secured := tls.Client(plain, r.ClientConfig(host))
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = plain.Close()
			return nil, errors.Wrap(err, "TLS handshake")
		}
		return secured, nil
	}
}

// get returns the current certificates, after a look at the files when due.
func (r *Reloader) get() *material {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.looked) < r.interval {
		return r.current
	}
	r.looked = now
	if modified(r.files) == r.current.modified {
		return r.current
	}
	next, err := read(r.files)
	r.reloaded(err)
	if err == nil {
		r.current = next
	}
	return r.current
}

// read loads the files. The times of change are taken first, so that a file
// replaced meanwhile is read again.
func read(files Files) (*material, error) {
	m := &material{modified: modified(files)}
	if files.Cert != "" || files.Key != "" {
		certificate, err := tls.LoadX509KeyPair(files.Cert, files.Key)
		if err != nil {
			return nil, errors.Wrapf(err, "load certificate %s", files.Cert)
		}
		m.certificate = &certificate
	}
	if files.CA == "" {
		return m, nil
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, errors.Wrap(err, "read authorities")
	}
	m.authorities = x509.NewCertPool()
	if !m.authorities.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s holds no certificate in PEM form", files.CA)
	}
	return m, nil
}

// modified returns the times of the last change; zero for a file that can't be read.
func modified(files Files) [3]time.Time {
	var times [3]time.Time
	for i, path := range []string{files.Cert, files.Key, files.CA} {
		if info, err := os.Stat(path); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}
