package session

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/golang-jwt/jwt/v5"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/basilrail/basilrail/internal/bubble"
	"github.com/basilrail/basilrail/internal/settings"
)

const account settings.AccountID = "shops/ikeja"

var (
	master = []byte(strings.Repeat("m", MinMasterBytes))
	keys   = []settings.TokenKey{{ID: "k2"}, {ID: "k1"}}
)

func newKeyring(t testing.TB, master []byte) *Keyring {
	t.Helper()
	k, err := NewKeyring(master, time.Hour)
	require.NoError(t, err)
	return k
}

func issue(t testing.TB, k *Keyring) string {
	t.Helper()
	s := Session{ID: "s-1", Account: account, Pins: map[string]string{"writer": "7"}}
	token, err := k.Issue(s, keys)
	require.NoError(t, err)
	return token
}

func TestTokenIsVerifiedByOtherInstances(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		token := issue(t, newKeyring(t, master))
		time.Sleep(59 * time.Minute)
		s, err := newKeyring(t, master).Verify(token, account, keys)
		require.NoError(t, err)
		assert.Equal(t, "s-1", s.ID)
		assert.Equal(t, account, s.Account)
		assert.Equal(t, map[string]string{"writer": "7"}, s.Pins)
		assert.Equal(t, 59*time.Minute, time.Since(s.IssuedAt))
	})
}

func TestVerifyRejectsInvalidTokens(t *testing.T) {
	unsigned := func(t *testing.T) string {
		token := jwt.NewWithClaims(jwt.SigningMethodNone, newKeyring(t, master).claims(Session{ID: "s", Account: account}))
		token.Header[keyIDHeader] = "k2"
		signed, err := token.SignedString(jwt.UnsafeAllowNoneSignatureType)
		require.NoError(t, err)
		return signed
	}
	tests := []struct {
		desc    string
		token   func(t *testing.T) string
		account settings.AccountID
		keys    []settings.TokenKey
		wait    time.Duration
		want    error
	}{
		{desc: "not a token", token: func(*testing.T) string { return "a.b.c" }, want: ErrForged},
		{desc: "unsigned", token: unsigned, want: ErrForged},
		{
			desc:  "signed with another master secret",
			token: func(t *testing.T) string { return issue(t, newKeyring(t, []byte(strings.Repeat("x", MinMasterBytes)))) },
			want:  ErrForged,
		},
		{
			desc: "payload changed",
			token: func(t *testing.T) string {
				parts := strings.Split(issue(t, newKeyring(t, master)), ".")
				other, err := newKeyring(t, master).Issue(Session{ID: "s-2", Account: "shops/lekki"}, keys)
				require.NoError(t, err)
				return parts[0] + "." + strings.Split(other, ".")[1] + "." + parts[2]
			},
			want: ErrForged,
		},
		{desc: "expired", wait: 2 * time.Hour, want: ErrExpired},
		{desc: "another client account", account: "shops/lekki", want: ErrOtherAccount},
		{desc: "key rotated out", keys: []settings.TokenKey{{ID: "k3"}}, want: ErrRotatedKey},
		{desc: "oversized", token: func(*testing.T) string { return strings.Repeat("a", MaxTokenBytes+1) }, want: ErrTooLarge},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				k := newKeyring(t, master)
				token := issue(t, k)
				if test.token != nil {
					token = test.token(t)
				}
				if test.account == "" {
					test.account = account
				}
				if test.keys == nil {
					test.keys = keys
				}
				time.Sleep(test.wait)
				_, err := k.Verify(token, test.account, test.keys)
				assert.ErrorIs(t, err, test.want)
			})
		})
	}
}

func TestRotationKeepsOlderListedKeys(t *testing.T) {
	k := newKeyring(t, master)
	token := issue(t, k)
	_, err := k.Verify(token, account, []settings.TokenKey{{ID: "k3"}, {ID: "k2"}})
	assert.NoError(t, err)
}

func TestIssueIsBounded(t *testing.T) {
	k := newKeyring(t, master)
	many := make(map[string]string)
	for i := range MaxPins + 1 {
		many[fmt.Sprint(i)] = "1"
	}
	_, err := k.Issue(Session{ID: "s", Account: account, Pins: many}, keys)
	require.ErrorIs(t, err, ErrTooLarge)
	long := map[string]string{"m": strings.Repeat("v", MaxTokenBytes)}
	_, err = k.Issue(Session{ID: "s", Account: account, Pins: long}, keys)
	require.ErrorIs(t, err, ErrTooLarge)
	_, err = k.Issue(Session{ID: "s", Account: account}, nil)
	require.ErrorIs(t, err, ErrNoKey)
	_, err = NewKeyring([]byte("short"), 0)
	require.ErrorIs(t, err, ErrShortMaster)
}

// FuzzVerify checks that no input other than the issued token is accepted.
func FuzzVerify(f *testing.F) {
	k := newKeyring(f, master)
	genuine := issue(f, k)
	f.Add(genuine)
	f.Add("")
	f.Add("..")
	f.Add(strings.ToUpper(genuine))
	f.Add(genuine[:len(genuine)-1])
	f.Add("eyJhbGciOiJub25lIn0.e30.")
	f.Fuzz(func(t *testing.T, token string) {
		_, err := k.Verify(token, account, keys)
		if token != genuine && err == nil {
			t.Fatalf("accepted a token that was not issued: %q", token)
		}
	})
}
