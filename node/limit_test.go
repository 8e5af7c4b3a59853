package node

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"fulmarfall/ident"
	"fulmarfall/searcher"
	"fulmarfall/wire"
)

// Guards against a request limit in a searcher's answer that is missed or misread.
func TestRequestLimitInAnswers(t *testing.T) {
	for name, tc := range map[string]struct {
		status int
		body   string
		want   *searcher.LimitStatement
	}{
		"search":                     {200, `{"request_id":"r","attempt":1,"shard":"s","snapshot":1,"limit_per_second":2.5}`, &searcher.LimitStatement{Limited: true, PerSecond: 2.5}},
		"zero":                       {200, `{"request_id":"r","attempt":1,"shard":"s","snapshot":1,"limit_per_second":0}`, &searcher.LimitStatement{Limited: true}},
		"no limit":                   {200, `{"request_id":"r","attempt":1,"shard":"s","snapshot":1}`, &searcher.LimitStatement{}},
		"negative":                   {200, `{"request_id":"r","attempt":1,"shard":"s","snapshot":1,"limit_per_second":-1}`, nil},
		"refusal":                    {503, `{"started":false,"reason":"shed","limit_per_second":4}`, &searcher.LimitStatement{Limited: true, PerSecond: 4}},
		"refusal that names none":    {503, `{"started":false,"reason":"shed"}`, nil},
		"answer to another request":  {200, `{"request_id":"other","attempt":1,"limit_per_second":2.5}`, nil},
		"answer that can't be read":  {200, `{"limit_per_second":"many"}`, nil},
		"failure":                    {504, `{"request_id":"r","attempt":1,"started":true,"reason":"deadline","limit_per_second":4}`, &searcher.LimitStatement{Limited: true, PerSecond: 4}},
		"search that has been ended": {504, `{"request_id":"r","attempt":1,"started":true,"reason":"deadline"}`, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var resp fasthttp.Response

			resp.SetStatusCode(tc.status)
			resp.SetBodyString(tc.body)

			_, outcome := translate(&wire.ShardRequest{RequestID: ident.RequestID("r"), Attempt: 1, Shard: "s", Snapshot: 1}, &resp)
			if diff := cmp.Diff(tc.want, outcome.Limit); diff != "" {
				t.Errorf("request limit differs (-want +got):\n%s", diff)
			}
		})
	}
}
