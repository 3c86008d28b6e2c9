package httpbackend

import (
	"github.com/pkg/errors"

	"github.com/bramblemast/bramblemast/pkg/backend"
	"github.com/bramblemast/bramblemast/pkg/backend/backendpb"
)

// Codec is the format of query bodies. Another format is one new
// implementation; headers, checks and classification stay the same.
// Implementations are safe for concurrent use.
type Codec interface {
	// ContentType is the media type of both bodies.
	ContentType() string
	// EncodeQuery returns a new body for request.
	EncodeQuery(request *backend.Request) ([]byte, error)
	// DecodeResult sets Records, Matches and ScoreSum of response. It keeps
	// no reference to body.
	DecodeResult(body []byte, response *backend.Response) error
}

// ProtobufCodec is the codec of proto/backend.proto and the default.
type ProtobufCodec struct{}

// ContentType implements Codec.
func (ProtobufCodec) ContentType() string { return backend.ContentType }

// EncodeQuery implements Codec.
func (ProtobufCodec) EncodeQuery(request *backend.Request) ([]byte, error) {
	query := backendpb.SubQuery{
		Query:          request.Query,
		Limit:          uint32(max(request.Limit, 0)),
		Payload:        request.Payload,
		IdempotencyKey: request.IdempotencyKey,
	}
	body, err := query.MarshalVT()
	return body, errors.Wrap(err, "encode query")
}

// DecodeResult implements Codec.
func (ProtobufCodec) DecodeResult(body []byte, response *backend.Response) error {
	return errors.Wrap(decodeResult(body, response), "decode result")
}
