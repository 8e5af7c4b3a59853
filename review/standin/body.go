package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// bodyRounds is the number of requests of the case.
const bodyRounds = 10

// formBody returns a form as a browser or curl sends it: a file and two fields.
func formBody(boundary string, n int) []byte {
	var b strings.Builder

	fmt.Fprintf(&b, "--%s\r\nContent-Disposition: form-data; name=\"form\"; filename=\"loan.txt\"\r\nContent-Type: text/plain\r\n\r\nloan %d\r\n", boundary, n)

	for _, field := range []struct{ name, value string }{{"unit", fmt.Sprint(700 + n)}, {"borrower", "clinic-12"}} {
		fmt.Fprintf(&b, "--%s\r\nContent-Disposition: form-data; name=\"%s\"\r\n\r\n%s\r\n", boundary, field.name, field.value)
	}

	fmt.Fprintf(&b, "--%s--\r\n", boundary)

	return []byte(b.String())
}

func digest(b []byte) string {
	sum := sha256.Sum256(b)

	return fmt.Sprintf("%d bytes, sha256 %s", len(b), hex.EncodeToString(sum[:6]))
}

// bodyCase checks that searchers get the bodies that clients have sent, here forms. Without the trouble, the same bytes are sent as
// plain bytes.
func bodyCase(ctx context.Context, w *world, trouble bool) error {
	arrived := make(chan *arrival, 100)

	for zone := range zoneCount {
		if _, err := w.addSearcher(ctx, "files", zone, func(s *searcher) { s.ran = func(a *arrival) { arrived <- a } }); err != nil {
			return err
		}
	}

	if err := w.put(ctx, newManifest(1, []route{newRoute("loans", "/loans/", nonIdempotent, "files")}, "files")); err != nil {
		return err
	}

	if err := w.awaitReady(ctx); err != nil {
		return err
	}

	pause(ctx, 2*time.Second) // until all searchers are known everywhere

	changed := 0

	for i := range bodyRounds {
		const boundary = "------------------------d74496d66958873e"

		contentType := "application/octet-stream"
		if trouble {
			contentType = "multipart/form-data; boundary=" + boundary
		}

		id, sent := w.newID(), formBody(boundary, i)
		front := w.front(i%zoneCount, 0)

		w.rec.add("client: POST %s to %s, %s, %s", id, front.name, contentType, digest(sent))

		r := w.send(ctx, front, http.MethodPost, fmt.Sprintf("/loans/%d", i), id, sent, 5*time.Second, http.Header{"Content-Type": {contentType}})
		w.rec.add("client: %s is answered %s", id, r.String())

		if r.status != http.StatusOK {
			return fmt.Errorf("%s was not served", id)
		}

		a := <-arrived
		w.rec.add("searcher %s runs %s with %s", a.s.id, a.id, digest(a.body))

		if !bytes.Equal(a.body, sent) {
			if changed++; changed == 1 {
				w.rec.add("sent %q", sent)
				w.rec.add("ran  %q", a.body)
			}
		}
	}

	if changed > 0 {
		return fmt.Errorf("%w: UNASKED: %d of %d requests ran with another body than the client sent", errBroken, changed, bodyRounds)
	}

	return nil
}
