package record

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// Size limits of salts and bearer keys.
const (
	MinSaltBytes = 16
	MaxSaltBytes = 64
	MinKeyBytes  = 16
	MaxKeyBytes  = 256
)

// KeyHash is the salted hash of a bearer key: SHA-256 of the salt followed by the key. Both fields
// are in lower-case hex. Keys are random, so a slow password hash is not needed.
type KeyHash struct {
	Salt string `json:"salt"`
	Hash string `json:"hash"`
}

// NewKeyHash hashes a key with a salt that the caller has generated at random.
func NewKeyHash(salt []byte, key string) (KeyHash, error) {
	if len(salt) < MinSaltBytes || len(salt) > MaxSaltBytes {
		return KeyHash{}, fieldErrorf("salt", "has %d bytes; %d to %d are allowed", len(salt), MinSaltBytes, MaxSaltBytes)
	}
	if len(key) < MinKeyBytes || len(key) > MaxKeyBytes {
		return KeyHash{}, fieldErrorf("key", "has %d bytes; %d to %d are allowed", len(key), MinKeyBytes, MaxKeyBytes)
	}
	sum := hashKey(salt, key)

	return KeyHash{Salt: hex.EncodeToString(salt), Hash: hex.EncodeToString(sum[:])}, nil
}

// Matches reports whether the key has this hash. The hashes are compared in constant time.
func (h KeyHash) Matches(key string) bool {
	if len(key) < MinKeyBytes || len(key) > MaxKeyBytes {
		return false
	}
	salt, err := hex.DecodeString(h.Salt)
	if err != nil {
		return false
	}
	want, err := hex.DecodeString(h.Hash)
	if err != nil {
		return false
	}
	sum := hashKey(salt, key)

	return subtle.ConstantTimeCompare(sum[:], want) == 1
}

func (h KeyHash) check(path string) error {
	salt, err := hex.DecodeString(h.Salt)
	if err != nil || len(salt) < MinSaltBytes || len(salt) > MaxSaltBytes {
		return fieldErrorf(path+".salt", "is not %d to %d bytes in hex", MinSaltBytes, MaxSaltBytes)
	}
	if hash, err := hex.DecodeString(h.Hash); err != nil || len(hash) != sha256.Size {
		return fieldErrorf(path+".hash", "is not %d bytes in hex", sha256.Size)
	}

	return nil
}

func hashKey(salt []byte, key string) [sha256.Size]byte {
	buf := make([]byte, 0, MaxSaltBytes+MaxKeyBytes)
	buf = append(buf, salt...)
	buf = append(buf, key...)

	return sha256.Sum256(buf)
}

func anyMatches(hashes []KeyHash, key string) bool {
	for _, h := range hashes {
		if h.Matches(key) {
			return true
		}
	}

	return false
}
