package stored

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/bramblemast/bramblemast/pkg/template"
)

var testKey = template.Key{Tenant: "valgsok", Name: "ticker"}

func publishedRevision(t testing.TB, revision uint64, comment string) template.Published {
	t.Helper()
	published, err := template.Seal(&template.Template{
		Tenant: testKey.Tenant, Name: testKey.Name, Comment: comment,
		Revision: revision, ChangeID: fmt.Sprint("change-", revision),
	})
	if err != nil {
		t.Fatal(err)
	}
	return published
}

func TestKeys(t *testing.T) {
	if back, err := ParseKey(Key(testKey)); err != nil || back != testKey {
		t.Fatalf("got %v, %v", back, err)
	}
	for _, text := range []string{"", Root, Root + "00/valgsok/ticker", Root + "zz/a/b", Key(testKey) + "/x", "x" + Key(testKey)} {
		if _, err := ParseKey(text); err == nil {
			t.Errorf("%q was taken", text)
		}
	}
}

func TestPrefixesSelectEveryKeyOnce(t *testing.T) {
	for digits := range hexDigits + 1 {
		prefixes, err := Prefixes(digits)
		if err != nil {
			t.Fatal(err)
		}
		for number := range 100 {
			key := Key(template.Key{Tenant: "tenant", Name: fmt.Sprint("name", number)})
			matches := 0
			for _, prefix := range prefixes {
				if bytes.HasPrefix([]byte(key), []byte(prefix)) {
					matches++
				}
			}
			if matches != 1 {
				t.Fatalf("%d prefixes of %d digits select %s", matches, digits, key)
			}
		}
	}
	if _, err := Prefixes(hexDigits + 1); err == nil {
		t.Fatal("too many digits were taken")
	}
}

func TestDocumentKeepsABoundedHistory(t *testing.T) {
	document := Document{Current: publishedRevision(t, 1, "")}
	for revision := uint64(2); revision <= HistoryLength+5; revision++ {
		document = document.Replace(publishedRevision(t, revision, ""))
	}
	value, err := document.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(testKey, value)
	if err != nil {
		t.Fatal(err)
	}
	if len(decoded.History) != HistoryLength || decoded.Current.Template.Revision != HistoryLength+5 {
		t.Fatalf("got %d earlier revisions of %d", len(decoded.History), decoded.Current.Template.Revision)
	}
	if _, isKept := decoded.Find("change-6"); !isKept {
		t.Fatal("a recent change is missing")
	}
	if _, isKept := decoded.Find("change-1"); isKept {
		t.Fatal("an old change was kept")
	}
	if _, err := Decode(template.Key{Tenant: "other", Name: "ticker"}, value); err == nil {
		t.Fatal("a document was taken under another's key")
	}
}

// TestLargestDocumentCanBeReadBack fills the history with what compresses
// worst.
func TestLargestDocumentCanBeReadBack(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	document := Document{}
	for revision := uint64(1); revision <= HistoryLength+1; revision++ {
		comment := make([]byte, template.MaxEncodedSize-200)
		for index := range comment {
			comment[index] = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_"[random.IntN(64)]
		}
		next := publishedRevision(t, revision, string(comment))
		if revision == 1 {
			document.Current = next
			continue
		}
		document = document.Replace(next)
	}
	value, err := document.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(testKey, value)
	if err != nil || len(decoded.History) != HistoryLength {
		t.Fatalf("got %d earlier revisions, %v", len(decoded.History), err)
	}
}

// FuzzDecode checks that a stored value that is taken encodes to one that is
// taken again with the same meaning.
func FuzzDecode(f *testing.F) {
	document := Document{Current: publishedRevision(f, 1, "")}.Replace(publishedRevision(f, 2, "x"))
	value, err := document.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add([]byte(`{"current":{},"history":"AAAA"}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		decoded, err := Decode(testKey, value)
		if err != nil {
			return
		}
		encoded, err := decoded.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(testKey, encoded)
		if err != nil || again.Current.Version() != decoded.Current.Version() || len(again.History) != len(decoded.History) {
			t.Fatalf("read back %v, %v", again, err)
		}
	})
}
