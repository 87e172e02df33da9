// Package tlsreload provides TLS configurations whose certificates are reloaded
// when their files change, so that a renewed certificate needs no restart. If the
// new files can't be read, the previous certificates stay in use.
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

// DefaultInterval is the default minimum time between two checks of the files.
const DefaultInterval = 10 * time.Second

// Files are the paths of PEM files; an empty path means no file.
type Files struct {
	Cert string
	Key  string
	// CA contains the authorities for verifying the peer's certificate.
	CA string
}

// material is the result of reading the files once. It is immutable.
type material struct {
	certificate *tls.Certificate
	authorities *x509.CertPool
	modTimes    [3]time.Time
}

// Reloader holds the current certificates. It is safe for concurrent use.
type Reloader struct {
	files    Files
	interval time.Duration
	// onReload is called with the result of each reload.
	onReload func(error)

	mu        sync.Mutex
	current   *material
	checkedAt time.Time
}

// New reads the files and returns a Reloader, which checks them for changes when a
// connection begins, at most once per interval; zero means DefaultInterval. If
// onReload is not nil, it is called after each reload, with an error if that failed.
func New(files Files, interval time.Duration, onReload func(error)) (*Reloader, error) {
	if interval <= 0 {
		interval = DefaultInterval
	}
	if onReload == nil {
		onReload = func(error) {}
	}
	first, err := read(files)
	if err != nil {
		return nil, err
	}
	return &Reloader{files: files, interval: interval, onReload: onReload, current: first, checkedAt: time.Now()}, nil
}

// ServerConfig returns the TLS configuration of a listener. If the files include
// authorities, clients must present a certificate signed by one of them.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return r.serverConfig(), nil
		},
		// Never called, but tls.Listen requires a certificate source.
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

// ClientConfig returns the TLS configuration for one new connection to the server
// with the given name or address.
func (r *Reloader) ClientConfig(serverName string) *tls.Config {
	m := r.get()
	config := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: serverName, RootCAs: m.authorities}
	if m.certificate != nil {
		config.Certificates = []tls.Certificate{*m.certificate}
	}
	return config
}

// DialFunc opens a connection like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer wraps a dial function with TLS, for use as http.Transport.DialTLSContext.
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

// get returns the current certificates. It first checks the files if a check is due.
func (r *Reloader) get() *material {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.checkedAt) < r.interval {
		return r.current
	}
	r.checkedAt = now
	if modTimes(r.files) == r.current.modTimes {
		return r.current
	}
	next, err := read(r.files)
	r.onReload(err)
	if err == nil {
		r.current = next
	}
	return r.current
}

// read loads the files. The modification times are read first, so that a file
// replaced during the read is read again by the next check.
func read(files Files) (*material, error) {
	m := &material{modTimes: modTimes(files)}
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
		return nil, errors.Errorf("%s contains no PEM certificate", files.CA)
	}
	return m, nil
}

// modTimes returns the files' modification times; zero for a file that can't be accessed.
func modTimes(files Files) [3]time.Time {
	var times [3]time.Time
	for i, path := range []string{files.Cert, files.Key, files.CA} {
		if info, err := os.Stat(path); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}
