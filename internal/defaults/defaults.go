// Package defaults fills settings that were left out.
package defaults

// number is what a setting can be.
type number interface{ ~int | ~int64 | ~float64 }

// Set replaces a value that is not above zero by a fallback.
func Set[T number](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
