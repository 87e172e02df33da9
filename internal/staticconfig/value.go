package staticconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// parser parses one kind of value. Its errors must not contain the text, which
// may be a secret.
type parser[T any] interface {
	parse(text string) (T, error)
	// placeholder returns the placeholder for the value in the help.
	placeholder() string
}

// Setting is a flag's value. It stores the parse error instead of returning it, so
// that the errors of all flags are reported together.
type Setting[T any, P parser[T]] struct {
	Value    T
	parseErr error
}

// UnmarshalText parses the value. It never returns an error.
func (s *Setting[T, P]) UnmarshalText(text []byte) error {
	var p P
	s.Value, s.parseErr = p.parse(string(text))
	return nil
}

func (s *Setting[T, P]) parseError() error { return s.parseErr }

func (s *Setting[T, P]) placeholder() string {
	var p P
	return p.placeholder()
}

// flagValue is implemented by Setting and Switch.
type flagValue interface{ parseError() error }

// placeholderProvider is implemented by Setting.
type placeholderProvider interface{ placeholder() string }

// The kinds of flag values.
type (
	// Name consists of letters, digits, dots, dashes and underscores.
	Name = Setting[string, nameParser]
	// Address is "ip:port".
	Address = Setting[netip.AddrPort, addressParser]
	// URL is an absolute http or https URL.
	URL = Setting[*url.URL, urlParser]
	// Duration is a duration greater than zero.
	Duration = Setting[time.Duration, durationParser]
	// Count is an integer greater than zero.
	Count = Setting[int, countParser]
	// Bytes is a number of bytes greater than zero.
	Bytes = Setting[int64, bytesParser]
	// Fraction is a number from 0 to 1.
	Fraction = Setting[float64, fractionParser]
	// SecretText is a secret of at least MinSecretBytes bytes.
	SecretText = Setting[Secret, secretParser]
	// KeySum is a SHA-256 hash in lower-case hexadecimal.
	KeySum = Setting[string, keySumParser]
	// File is the path of a readable file.
	File = Setting[string, fileParser]
	// Level is a log level.
	Level = Setting[logrus.Level, levelParser]
	// Format is a log format, "text" or "json".
	Format = Setting[string, formatParser]
)

// MinSecretBytes is the minimum length of a secret.
const MinSecretBytes = 32

// Secret is a secret that is formatted as "[redacted]".
type Secret []byte

// String hides the secret.
func (Secret) String() string { return "[redacted]" }

// GoString hides the secret.
func (Secret) GoString() string { return "[redacted]" }

// Switch is a boolean flag whose value is optional.
type Switch struct {
	Value    bool
	parseErr error
}

// Decode parses the optional value; a flag without a value is true.
func (s *Switch) Decode(ctx *kong.DecodeContext) error {
	if ctx.Scan.Peek().Type != kong.FlagValueToken {
		s.Value = true
		return nil
	}
	text, _ := ctx.Scan.Pop().Value.(string)
	value, err := strconv.ParseBool(text)
	if err != nil {
		s.parseErr = errors.New("must be true or false")
	}
	s.Value = value
	return nil
}

// IsBool reports to kong that the flag needs no value.
func (s *Switch) IsBool() bool { return true }

func (s *Switch) parseError() error { return s.parseErr }

type (
	nameParser     struct{}
	addressParser  struct{}
	urlParser      struct{}
	durationParser struct{}
	countParser    struct{}
	bytesParser    struct{}
	fractionParser struct{}
	secretParser   struct{}
	keySumParser   struct{}
	fileParser     struct{}
	levelParser    struct{}
	formatParser   struct{}
)

const maxNameBytes = 64

func (nameParser) parse(text string) (string, error) {
	if text == "" || len(text) > maxNameBytes {
		return "", errors.Errorf("must be 1 to %d characters long", maxNameBytes)
	}
	for _, r := range text {
		if !isNameRune(r) {
			return "", errors.New("may hold only letters, digits, dots, dashes and underscores")
		}
	}
	return text, nil
}

func isNameRune(r rune) bool {
	letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	digit := r >= '0' && r <= '9'
	return letter || digit || r == '.' || r == '-' || r == '_'
}

func (addressParser) parse(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, errors.New("must be ip:port, such as 127.0.0.1:8080")
	}
	return address, nil
}

func (urlParser) parse(text string) (*url.URL, error) {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, errors.New("must be an absolute http or https URL")
	}
	return u, nil
}

func (durationParser) parse(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return 0, errors.New("must be a duration above zero, such as 500ms or 30s")
	}
	return d, nil
}

func (countParser) parse(text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil || n <= 0 {
		return 0, errors.New("must be a whole number above zero")
	}
	return n, nil
}

func (bytesParser) parse(text string) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n <= 0 {
		return 0, errors.New("must be a whole number of bytes above zero")
	}
	return n, nil
}

func (fractionParser) parse(text string) (float64, error) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || !(f >= 0 && f <= 1) {
		return 0, errors.New("must be a fraction from 0 to 1")
	}
	return f, nil
}

func (secretParser) parse(text string) (Secret, error) {
	if len(text) < MinSecretBytes {
		return nil, errors.Errorf("must be at least %d bytes long", MinSecretBytes)
	}
	return Secret(text), nil
}

func (keySumParser) parse(text string) (string, error) {
	sum, err := hex.DecodeString(text)
	if err != nil || len(sum) != sha256.Size {
		return "", errors.New("must be 64 hexadecimal digits")
	}
	return strings.ToLower(text), nil
}

func (fileParser) parse(text string) (string, error) {
	file, err := os.Open(text)
	if err != nil {
		return "", errors.New("must be the path of a readable file")
	}
	return text, errors.Wrap(file.Close(), "close file")
}

func (levelParser) parse(text string) (logrus.Level, error) {
	level, err := logrus.ParseLevel(text)
	if err != nil {
		return 0, errors.New("must be error, warning, info or debug")
	}
	return level, nil
}

func (formatParser) parse(text string) (string, error) {
	if text != FormatText && text != FormatJSON {
		return "", errors.New("must be text or json")
	}
	return text, nil
}

func (nameParser) placeholder() string     { return "NAME" }
func (addressParser) placeholder() string  { return "IP:PORT" }
func (urlParser) placeholder() string      { return "URL" }
func (durationParser) placeholder() string { return "DURATION" }
func (countParser) placeholder() string    { return "NUMBER" }
func (bytesParser) placeholder() string    { return "BYTES" }
func (fractionParser) placeholder() string { return "FRACTION" }
func (secretParser) placeholder() string   { return "TEXT" }
func (fileParser) placeholder() string     { return "PATH" }
func (levelParser) placeholder() string    { return "LEVEL" }
func (formatParser) placeholder() string   { return "FORMAT" }
func (keySumParser) placeholder() string   { return "SHA256" }
