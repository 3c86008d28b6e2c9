package edge

import "testing"

// FuzzParseSettings checks that no settings make the parser panic, and that accepted settings satisfy
// the bounds that the node relies on.
func FuzzParseSettings(f *testing.F) {
	f.Add([]byte(`{"node":{"name":"n","zone":"z"},"listen":{"clients":"a:1","ready":"a:2"},"store":{"address":"a:3"},"bounds":{"grace_s":1}}`))
	f.Add([]byte(`{"limits":{"memory_mb":-1}}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, content []byte) {
		settings, err := ParseSettings(content)
		if err != nil {
			return
		}
		if settings.grace() <= 0 || settings.absenceUncertainSpan() < 0 || settings.leaveGrace() < 0 || settings.MemoryBytes() < 0 {
			t.Fatalf("accepted %+v", settings)
		}
	})
}
