package dispatch

import (
	"encoding/base64"

	"google.golang.org/protobuf/proto"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// EncodeLoad encodes queue statistics for HeaderLoad, "" for nil.
func EncodeLoad(load *trefoilkeelv1.Load) string {
	if load == nil {
		return ""
	}
	data, err := proto.Marshal(load)
	if err != nil {
		return ""
	}
	return base64.RawStdEncoding.EncodeToString(data)
}

// DecodeLoad decodes the value of HeaderLoad, nil if it is empty or malformed.
func DecodeLoad(value string) *trefoilkeelv1.Load {
	data, err := base64.RawStdEncoding.DecodeString(value)
	if err != nil || len(data) == 0 {
		return nil
	}
	load := &trefoilkeelv1.Load{}
	if proto.Unmarshal(data, load) != nil {
		return nil
	}
	return load
}
