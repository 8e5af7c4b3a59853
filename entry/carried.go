// Which requests a connection to a searcher has carried. All attempts of a request bear the ID that the caller gave it, so nothing in a
// response tells which of them it answers. A searcher may send a response again, late: on the connection of a later attempt, a copy
// would be taken for the response to that one, and a request that runs would count as rejected. Therefore no connection carries two
// attempts of one request, and a response with the request's ID belongs to the only attempt on its connection.

package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// requestKey identifies a request, also if another entry VM forwards it again or its caller repeats it under the same ID.
type requestKey uint64

// keyOfRequest returns the key of a request. One without an ID has a key of its own each time.
func keyOfRequest(r *Request) requestKey {
	if r.ID == "" {
		return requestKey(rand.Uint64())
	}

	return requestKey(xxhash.Sum64String(string(r.ID)))
}

const (
	// carriedMargin is added to the deadline of a request, which the entry VMs that forward it compute with a small difference.
	carriedMargin = time.Second
	// maxCarried bounds the requests that a connection remembers. One that has carried so many whose deadlines have not passed is not
	// used for others.
	maxCarried = 8192
)

// carriedRequests holds the requests that a connection has carried and that may still be sent again. It has no pointers, because there
// is one for each request in the time until its deadline.
type carriedRequests []carriedRequest

type carriedRequest struct {
	key requestKey
	// until is when the request cannot be sent any more, since the connection was opened.
	until time.Duration
}

// recordCarried records that the connection carries a request which may be sent again until its deadline.
func (c *Conn) recordCarried(now time.Time, key requestKey, deadline time.Time) {
	if len(c.carried) == cap(c.carried) {
		c.forgetCarried(now)
	}

	c.carried = append(c.carried, carriedRequest{key: key, until: deadline.Add(carriedMargin).Sub(c.openedAt)})
}

// forgetCarried removes the requests that cannot be sent any more.
func (c *Conn) forgetCarried(now time.Time) {
	since := now.Sub(c.openedAt)
	c.carried = slices.DeleteFunc(c.carried, func(r carriedRequest) bool { return r.until < since })
}

// mayHaveCarried reports whether the connection may have carried an attempt of a request that may be sent again.
func (c *Conn) mayHaveCarried(now time.Time, key requestKey) bool {
	if len(c.carried) >= maxCarried {
		c.forgetCarried(now)
	}

	since := now.Sub(c.openedAt)

	return len(c.carried) >= maxCarried || slices.ContainsFunc(c.carried, func(r carriedRequest) bool { return r.key == key && r.until >= since })
}
