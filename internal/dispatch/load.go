package dispatch

import (
	"encoding/base64"

	"google.golang.org/protobuf/proto"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// EncodeLoad writes queue figures for HeaderLoad; "" for none.
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

// DecodeLoad reads what EncodeLoad wrote; nil if there is none or it is malformed.
func DecodeLoad(text string) *trefoilkeelv1.Load {
	data, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil || len(data) == 0 {
		return nil
	}
	load := &trefoilkeelv1.Load{}
	if proto.Unmarshal(data, load) != nil {
		return nil
	}
	return load
}
