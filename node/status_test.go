package node

import (
	"fmt"
	"testing"

	"github.com/valyala/fasthttp"

	"fulmarfall/searcher"
	"fulmarfall/wire"
)

// Guards against a response with an invalid status that counts as a whole answer to its request: its connection would be kept, and
// its request limit believed.
func TestInvalidStatusIsBadReply(t *testing.T) {
	for _, execute := range []bool{false, true} {
		for _, status := range []int{1, 20, 99, 101, 199, 600, 999, 2000} {
			t.Run(fmt.Sprintf("execute %v, status %d", execute, status), func(t *testing.T) {
				resp := &fasthttp.Response{}
				resp.SetStatusCode(status)
				resp.SetBodyString(`{"request_id":"q","attempt":1,"shard":"a","snapshot":1,"started":false,"limit_per_second":1}`)

				reply, outcome := translate(&wire.ShardRequest{RequestID: "q", Attempt: 1, Shard: "a", Snapshot: 1, Execute: execute}, resp)
				if reply.Status != wire.ShardUnknown || outcome.Kind != searcher.Failed || outcome.AnswerRead || outcome.Limit != nil {
					t.Errorf("status %d of the shard, outcome %+v, want one that may have run, with its connection closed and no limit", reply.Status, outcome)
				}
			})
		}
	}
}

// Guards against a status outside 200 to 599 that is taken for another one, or for that of an interim response.
func TestInvalidStatusEndsExchange(t *testing.T) {
	for status, wantErr := range map[string]bool{
		"200": false, "503": false, "000": true, "020": true, "099": true, "101": true, "600": true, "999": true, "20": true, "-12": true, "2000": true,
	} {
		t.Run(status, func(t *testing.T) {
			data := fmt.Sprintf("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 %s Odd\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", status)

			if malformed, err := exchangeWith(t, data); (err != nil) != wantErr || malformed != wantErr {
				t.Errorf("error %v, want a malformed response: %v", err, wantErr)
			}
		})
	}
}
