package exchange

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint tells whether two requests ask the same: each try of a client has an id of
// its own, but the same method, host, target, credentials and body.
type Fingerprint [16]byte

// credentialHeaders name who asks (RFC 9110, section 11.6.2, and RFC 6265), beside those of the
// dialect. Other headers differ between tries of one client, such as those that trace a
// request.
var credentialHeaders = []string{"Authorization", "Cookie"}

// Fingerprint returns the request's fingerprint. It costs some microseconds, so it is asked
// for only where something is known of requests like this one.
func (r *Request) Fingerprint(dialect *Dialect) Fingerprint {
	sum := sha256.New()
	write := func(text []byte) {
		// The length keeps neighbouring fields apart.
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(text)))
		sum.Write(length[:])
		sum.Write(text)
	}
	write([]byte(r.Method))
	write([]byte(r.Host))
	write([]byte(r.Target))
	for _, name := range append([]string{dialect.Credential, dialect.Tenant}, credentialHeaders...) {
		for _, value := range r.Header[name] {
			write([]byte(name))
			write([]byte(value))
		}
	}
	write(r.Body)
	return Fingerprint(sum.Sum(nil)[:len(Fingerprint{})])
}

// At returns the fingerprint of the request at one of its services.
func (f Fingerprint) At(service string) Fingerprint {
	text := append(f[:len(f):len(f)], service...)
	sum := sha256.Sum256(text)
	return Fingerprint(sum[:len(f)])
}

// String returns the fingerprint as it stands in logs and in the store.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint reads what String returned.
func ParseFingerprint(text string) (Fingerprint, bool) {
	var parsed Fingerprint
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(parsed) {
		return parsed, false
	}
	copy(parsed[:], decoded)
	return parsed, true
}
