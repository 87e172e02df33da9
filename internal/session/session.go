// Package session issues and verifies the signed tokens that carry a session: its
// client account and the version pinned for each model. Entry instances keep no
// session state; each of them can verify the tokens of all others.
//
// Tokens are JSON Web Tokens signed with HMAC-SHA256. The settings name the
// keys by id; each key's secret is derived with HKDF from the process's master
// secret and the id, so the settings hold no secret.
package session

import (
	"crypto/hkdf"
	"crypto/sha256"
	"time"

	"github.com/golang-jwt/jwt/v5"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"github.com/basilrail/basilrail/internal/settings"
)

// Limits and defaults of tokens.
const (
	// MaxTokenBytes is the maximum length of a token that is issued or read.
	MaxTokenBytes = 4096
	// MaxPins is the maximum number of models that a session pins.
	MaxPins = 16
	// MinMasterBytes is the minimum length of the master secret.
	MinMasterBytes = 32
	// DefaultLifetime is how long a token is valid after issue unless configured
	// otherwise.
	DefaultLifetime = 24 * time.Hour

	secretBytes      = 32
	maxCachedSecrets = 16
	clockLeeway      = 30 * time.Second
	keyIDHeader      = "kid"
	derivationPrefix = "basilrail session token key "
)

// Errors of Verify and Issue.
var (
	// ErrForged means that the token is malformed or its signature is wrong.
	ErrForged = errors.New("session token is not genuine")
	// ErrExpired means that the token is genuine but has expired.
	ErrExpired = errors.New("session token has expired")
	// ErrOtherAccount means that the token was issued to another client account.
	ErrOtherAccount = errors.New("session token belongs to another client account")
	// ErrRotatedKey means that the token is genuine but the settings no longer list its
	// key.
	ErrRotatedKey = errors.New("session token key has been rotated out")
	// ErrTooLarge means that the token exceeds MaxTokenBytes or its pins exceed MaxPins.
	ErrTooLarge = errors.New("session token is too large")
	// ErrNoKey means that the settings list no token key.
	ErrNoKey = errors.New("settings list no session token key")
	// ErrShortMaster means that the master secret is shorter than MinMasterBytes.
	ErrShortMaster = errors.New("master secret is too short")
)

// Session is the content of a token.
type Session struct {
	ID      string
	Account settings.AccountID
	// Pins maps a model to the version that the session uses.
	Pins     map[string]string
	IssuedAt time.Time
}

// claims is the token's payload.
type claims struct {
	jwt.RegisteredClaims
	Pins map[string]string `json:"pins,omitempty"`
}

// Keyring signs and verifies tokens. It is safe for concurrent use.
type Keyring struct {
	master   []byte
	lifetime time.Duration
	// secrets caches derived secrets by key id. Forged key ids can evict entries, but
	// can't grow the cache.
	secrets *lru.Cache[string, []byte]
}

// NewKeyring returns a Keyring for the master secret, which all instances share.
// If lifetime is not positive, DefaultLifetime is used.
func NewKeyring(master []byte, lifetime time.Duration) (*Keyring, error) {
	if len(master) < MinMasterBytes {
		return nil, errors.Wrapf(ErrShortMaster, "%d bytes, at least %d needed", len(master), MinMasterBytes)
	}
	if lifetime <= 0 {
		lifetime = DefaultLifetime
	}
	secrets, err := lru.New[string, []byte](maxCachedSecrets)
	if err != nil {
		return nil, errors.Wrap(err, "create secret cache")
	}
	return &Keyring{master: append([]byte(nil), master...), lifetime: lifetime, secrets: secrets}, nil
}

// Issue signs a session with the first key and returns the token. The token's issue
// time is now; s.IssuedAt is ignored.
func (k *Keyring) Issue(s Session, keys []settings.TokenKey) (string, error) {
	if len(keys) == 0 {
		return "", ErrNoKey
	}
	if len(s.Pins) > MaxPins {
		return "", errors.Wrapf(ErrTooLarge, "%d pinned models", len(s.Pins))
	}
	secret, err := k.secret(keys[0].ID)
	if err != nil {
		return "", err
	}
	token := jwt.NewWithClaims(jwt.SigningMethodHS256, k.claims(s))
	token.Header[keyIDHeader] = keys[0].ID
	signed, err := token.SignedString(secret)
	if err != nil {
		return "", errors.Wrap(err, "sign session token")
	}
	if len(signed) > MaxTokenBytes {
		return "", errors.Wrapf(ErrTooLarge, "%d bytes", len(signed))
	}
	return signed, nil
}

func (k *Keyring) claims(s Session) claims {
	now := time.Now()
	return claims{
		RegisteredClaims: jwt.RegisteredClaims{
			ID:        s.ID,
			Subject:   string(s.Account),
			IssuedAt:  jwt.NewNumericDate(now),
			ExpiresAt: jwt.NewNumericDate(now.Add(k.lifetime)),
		},
		Pins: s.Pins,
	}
}

// Verify returns the session of a token that a caller of the account presented. Keys
// are those that the settings currently list.
func (k *Keyring) Verify(token string, account settings.AccountID, keys []settings.TokenKey) (Session, error) {
	if len(token) > MaxTokenBytes {
		return Session{}, ErrTooLarge
	}
	c, keyID, err := k.parse(token)
	if err != nil {
		return Session{}, err
	}
	if !isListed(keys, keyID) {
		return Session{}, ErrRotatedKey
	}
	if c.Subject != string(account) {
		return Session{}, ErrOtherAccount
	}
	if len(c.Pins) > MaxPins {
		return Session{}, ErrTooLarge
	}
	return Session{ID: c.ID, Account: account, Pins: c.Pins, IssuedAt: c.IssuedAt.Time}, nil
}

// parse checks the signature, with the key id that the token names, and then the
// expiry. It also derives secrets of unlisted keys, to distinguish a rotated-out key
// from a forged token.
func (k *Keyring) parse(token string) (claims, string, error) {
	var c claims
	parser := jwt.NewParser(
		jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}),
		jwt.WithExpirationRequired(),
		jwt.WithLeeway(clockLeeway),
		jwt.WithStrictDecoding(),
	)
	parsed, err := parser.ParseWithClaims(token, &c, k.keyFor)
	switch {
	case errors.Is(err, jwt.ErrTokenExpired):
		return c, "", ErrExpired
	case err != nil, c.IssuedAt == nil, c.ID == "", c.Subject == "":
		return c, "", ErrForged
	}
	keyID, _ := parsed.Header[keyIDHeader].(string)
	return c, keyID, nil
}

func (k *Keyring) keyFor(token *jwt.Token) (any, error) {
	keyID, ok := token.Header[keyIDHeader].(string)
	if !ok || keyID == "" {
		return nil, ErrForged
	}
	return k.secret(keyID)
}

func (k *Keyring) secret(keyID string) ([]byte, error) {
	if secret, ok := k.secrets.Get(keyID); ok {
		return secret, nil
	}
	secret, err := hkdf.Key(sha256.New, k.master, nil, derivationPrefix+keyID, secretBytes)
	if err != nil {
		return nil, errors.Wrap(err, "derive session token key")
	}
	k.secrets.Add(keyID, secret)
	return secret, nil
}

func isListed(keys []settings.TokenKey, id string) bool {
	for _, key := range keys {
		if key.ID == id {
			return true
		}
	}
	return false
}
