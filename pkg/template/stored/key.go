// Package stored defines how templates lie in the configuration store: the
// layout of the keys, and the value of a key, which holds the document in
// force together with its recent history, so that one compare-and-swap changes
// both.
package stored

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/template"
)

// Root is the prefix of every template's key.
const Root = "bramblemast/templates/"

// ShardCount is the number of shards that templates are spread over by hash.
// The shard is written as two hexadecimal digits, the first elements of a key,
// so that the prefixes Root, Root+"a" and Root+"a3" each select whole shards.
const ShardCount = 256

// Shard is one of the ShardCount shards.
type Shard uint8

// ShardOf returns the shard of a template.
func ShardOf(key template.Key) Shard {
	return Shard(xxhash.Sum64String(key.String()) % ShardCount)
}

// Key returns the store's key of a template, for example
// "bramblemast/templates/a3/valgsok/ticker".
func Key(key template.Key) string {
	return fmt.Sprintf("%s%02x/%s/%s", Root, uint8(ShardOf(key)), key.Tenant, key.Name)
}

// ParseKey is the inverse of Key.
func ParseKey(text string) (template.Key, error) {
	elements := strings.Split(strings.TrimPrefix(text, Root), "/")
	if len(elements) != 3 {
		return template.Key{}, errors.Errorf("%q is not the key of a template", text)
	}
	key := template.Key{Tenant: elements[1], Name: elements[2]}
	if Key(key) != text {
		return template.Key{}, errors.Errorf("%q is not the key of a template", text)
	}
	return key, nil
}

// hexDigits is the greatest number of shard digits in a watched prefix.
const hexDigits = 2

// Prefixes returns the store prefixes that together select every template: 1
// for digits 0, 16 for 1 and 256 for 2.
func Prefixes(digits int) ([]string, error) {
	if digits < 0 || digits > hexDigits {
		return nil, errors.Errorf("%d shard digits: want 0 to %d", digits, hexDigits)
	}
	count := 1 << (4 * digits)
	prefixes := make([]string, 0, count)
	for number := range count {
		if digits == 0 {
			prefixes = append(prefixes, Root)
			continue
		}
		prefixes = append(prefixes, fmt.Sprintf("%s%0*x", Root, digits, number))
	}
	return prefixes, nil
}
