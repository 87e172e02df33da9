package entry

import (
	"crypto/tls"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/events"
	"github.com/basilrail/basilrail/internal/httpanswer"
	"github.com/basilrail/basilrail/internal/staticconfig"
	"github.com/basilrail/basilrail/internal/tlsreload"
)

// reloader loads certificates and logs each reload; it returns nil if no files
// are configured.
func (i *Instance) reloader(files tlsreload.Files) (*tlsreload.Reloader, error) {
	if files == (tlsreload.Files{}) {
		return nil, nil
	}
	return tlsreload.New(files, 0, func(err error) {
		if err != nil {
			i.log.Log(events.CertificateNotReloaded, events.Fields{Path: files.Cert, Err: err})
			return
		}
		i.log.Log(events.CertificateReloaded, events.Fields{Path: files.Cert})
	})
}

// clientTransport returns a transport that verifies servers by the configured files
// and presents the configured certificate; without files it is a plain one.
func (i *Instance) clientTransport(c staticconfig.ClientTLS) (*httpanswer.Transport, error) {
	reloader, err := i.reloader(tlsreload.Files{Cert: c.Cert.Value, Key: c.Key.Value, CA: c.CA.Value})
	if err != nil {
		return nil, err
	}
	if reloader == nil {
		return i.transport(nil), nil
	}
	return i.transport(reloader.Dialer(i.opts.Dial)), nil
}

// listen opens a listener, with TLS if a certificate is configured.
func (i *Instance) listen(address string, files tlsreload.Files) (net.Listener, error) {
	reloader, err := i.reloader(files)
	if err != nil {
		return nil, err
	}
	listener, err := i.opts.Listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	if reloader == nil {
		return listener, nil
	}
	return tls.NewListener(listener, reloader.ServerConfig()), nil
}

// secureScheme sends every request over TLS, whatever the scheme of its URL.
type secureScheme struct{ http.RoundTripper }

// RoundTrip sends a copy of the request with the scheme https.
func (s secureScheme) RoundTrip(req *http.Request) (*http.Response, error) {
	secure := req.Clone(req.Context())
	secure.URL.Scheme = "https"
	return s.RoundTripper.RoundTrip(secure)
}

// buildServerTransport builds the transport to the backend servers, which is
// shared by attempts, probes and commands.
func (i *Instance) buildServerTransport() error {
	transport, err := i.clientTransport(i.cfg.ServersTLS)
	if err != nil {
		return errors.Wrap(err, "load backend server certificates")
	}
	i.serverTransport = transport
	if i.cfg.ServersTLS.CA.Value != "" {
		i.serverTransport = secureScheme{transport}
	}
	return nil
}
