package httpbackend

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/backend/backendpb"
)

// decodeGenerated decodes with the generated code, as the oracle.
func decodeGenerated(body []byte) (*backend.Response, error) {
	var result backendpb.SubResult
	if err := result.UnmarshalVT(body); err != nil {
		return nil, err
	}
	response := &backend.Response{Matches: result.Matches, ScoreSum: result.ScoreSum}
	for _, record := range result.Records {
		response.Records = append(response.Records, backend.Record{
			Key: record.Key, Score: record.Score, Payload: record.Payload,
		})
	}
	return response, nil
}

func sameResult(a, b *backend.Response) bool {
	if a.Matches != b.Matches || a.ScoreSum != b.ScoreSum || len(a.Records) != len(b.Records) {
		return false
	}
	for index, record := range a.Records {
		other := b.Records[index]
		if record.Key != other.Key || record.Score != other.Score || !bytes.Equal(record.Payload, other.Payload) {
			return false
		}
	}
	return true
}

// TestDecodeAgreesWithGenerated compares both decoders on whole results, and
// checks that the body may be reused afterwards.
func TestDecodeAgreesWithGenerated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		result := &backendpb.SubResult{
			Matches: rapid.Uint64().Draw(t, "matches"), ScoreSum: rapid.Int64().Draw(t, "sum"),
		}
		for range rapid.IntRange(0, 5).Draw(t, "records") {
			result.Records = append(result.Records, &backendpb.Record{
				Key: rapid.String().Draw(t, "key"), Score: rapid.Int64().Draw(t, "score"),
				Payload: rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "payload"),
			})
		}
		body, err := result.MarshalVT()
		if err != nil {
			t.Fatal(err)
		}
		want, err := decodeGenerated(body)
		if err != nil {
			t.Fatal(err)
		}
		var got backend.Response
		if err := (ProtobufCodec{}).DecodeResult(body, &got); err != nil {
			t.Fatal(err)
		}
		clear(body)
		if !sameResult(&got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

// FuzzDecodeResult feeds malformed bodies: nothing breaks, and what both
// decoders accept they read alike.
func FuzzDecodeResult(f *testing.F) {
	result := &backendpb.SubResult{Matches: 3, ScoreSum: -1, Records: []*backendpb.Record{{Key: "k", Payload: []byte("p")}}}
	body, err := result.MarshalVT()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add([]byte{0x0a, 0xff})
	f.Fuzz(func(t *testing.T, body []byte) {
		var got backend.Response
		ownErr := decodeResult(body, &got)
		want, err := decodeGenerated(body)
		if ownErr == nil && err == nil && !sameResult(&got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
		if ownErr == nil && err != nil {
			t.Fatalf("accepted what the generated decoder refuses: %v", err)
		}
	})
}
