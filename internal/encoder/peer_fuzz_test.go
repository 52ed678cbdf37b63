package encoder

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/fuchsiapitch/fuchsiapitch"
	"github.com/fuchsiapitch/fuchsiapitch/internal/encoder/wire"
)

func FuzzDecodePeer(f *testing.F) {
	host := fuchsiapitch.NewHost("host-a", "127.0.0.1:1", "gt-xela", 3)
	request := fuchsiapitch.NewRequest("r1", "m", "c", "chat", fuchsiapitch.WithTokenStream())
	call := fuchsiapitch.NewCall("r1", "POST", "/v1/completions", []byte("{}"), fuchsiapitch.WithStream(4),
		fuchsiapitch.WithHeader(map[string][]string{"Accept": {"a", "b"}}))
	for _, m := range []proto.Message{
		EncodeDispatchRequest(host, request, call), &wire.DispatchRequest{}, &wire.Heartbeat{},
		&wire.Heartbeat{Views: []*wire.PeerView{{}}, Loads: []*wire.ServiceLoad{{}}},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatalf("marshal: got %v, want none", err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var dispatch wire.DispatchRequest
		if proto.Unmarshal(data, &dispatch) == nil {
			request, call := DecodeDispatchRequest(&dispatch)
			if request.ID() != call.Request() {
				t.Fatalf("request id of the call: got %q, want %q", call.Request(), request.ID())
			}
		}
		var heartbeat wire.Heartbeat
		if proto.Unmarshal(data, &heartbeat) == nil {
			DecodeHeartbeat(&heartbeat)
		}
	})
}

func FuzzDecodeGroupRecord(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0x02, 0x08, 0x01})
	f.Add([]byte("not a record"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		record, err := DecodeGroupRecord(fuchsiapitch.NewRecord("id", data).WithOffset(1))
		_, _ = record, err
	})
}
