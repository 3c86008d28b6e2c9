package exchange

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies requests with the same content: each try of a client has its own id, but
// the same method, host, target, credentials and body.
type Fingerprint [16]byte

// credentialHeaders identify the caller (RFC 9110, section 11.6.2, and RFC 6265), in addition to
// those of the dialect. Other headers, such as those for tracing, differ between tries of one
// client.
var credentialHeaders = []string{"Authorization", "Cookie"}

// Fingerprint returns the request's fingerprint. It takes some microseconds, so it is computed only
// where something is known about requests like this one.
func (r *Request) Fingerprint(dialect *Dialect) Fingerprint {
	sum := sha256.New()
	write := func(text []byte) {
		// The length prefix keeps adjacent fields distinct.
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

// At returns the fingerprint of the request for one of its services.
func (f Fingerprint) At(service string) Fingerprint {
	text := append(f[:len(f):len(f)], service...)
	sum := sha256.Sum256(text)
	return Fingerprint(sum[:len(f)])
}

// String returns the fingerprint in hexadecimal, as written to logs and to the store.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the result of String. It returns false if the text is not valid.
func ParseFingerprint(text string) (Fingerprint, bool) {
	var parsed Fingerprint
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(parsed) {
		return parsed, false
	}
	copy(parsed[:], decoded)
	return parsed, true
}
