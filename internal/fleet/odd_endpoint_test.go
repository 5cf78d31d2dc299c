package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/directory"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
)

// Guards against a first event that is too large for every entry, because of long names.
func TestFullDirectoryFitsOneEvent(t *testing.T) {
	g := NewWithT(t)
	name := strings.Repeat("n", directory.MaxNameBytes)
	event := &pb.FleetEvent{}
	for i := range directory.MaxEndpoints {
		e := directory.Endpoint{ID: fmt.Sprintf("%05d", i) + name[5:], Service: name, FailureDomain: name, Version: name, Address: strings.Repeat("n", directory.MaxNameBytes-len(":80")) + ":80", Slots: 1 << 20, State: directory.Ready, StartedUnixMS: 1 << 53, Sequence: 1 << 53}
		g.Expect(e.Check()).To(Succeed())
		event.Endpoints = append(event.Endpoints, endpointToProto(e, time.Now()))
	}
	const otherFields = 1 << 20
	g.Expect(proto.Size(event)).To(BeNumerically("<", rpc.MaxMessageBytes-otherFields))
}
