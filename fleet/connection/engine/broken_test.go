package engine

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"gentianhead/fleet/connection/transport"
	"gentianhead/platform/platformtest"
)

// Guards against an answer with a broken head that is forwarded, taken for the endpoint's word that
// the request did not run, or whose connection is used again.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	for _, fault := range platformtest.HeadFaults() {
		for _, status := range []string{"200 OK", "410 Gone", "412 Precondition Failed", "503 Service Unavailable"} {
			for _, body := range []string{"foreign", ""} {
				for _, before := range []int64{0, 1} {
					server := startRaw(t, func(number int64, r *http.Request) (string, bool) {
						if number != before+1 {
							return httpText("200 OK", idOf(r), "own"), true
						}
						return fault.Apply(httpText(status, idOf(r), body)), true
					})
					what := fmt.Sprintf("%s, %s, %q, after %d", fault.Name, status, body, before)
					client := NewClient()
					for range before {
						_, err := doRead(t, client, server.url)
						assert.NilError(t, err, what)
					}
					_, err := doRead(t, client, server.url)
					assert.ErrorIs(t, err, ErrNoAnswer, what)
					assert.Check(t, errors.Is(err, transport.ErrBroken) || strings.Contains(err.Error(), "malformed"), "%s: %v", what, err)
					assert.Assert(t, !errors.IsAny(err, ErrNotSent, ErrWithdrawn), what)
					got, err := doRead(t, client, server.url)
					assert.NilError(t, err, what)
					assert.Equal(t, got, "own", what)
					assert.Equal(t, server.Conns.Load(), int64(2), what)
					client.Close()
				}
			}
		}
	}
}

// fakeRates records stated rates.
type fakeRates struct{ stated []string }

func (f *fakeRates) Take(string) (time.Duration, bool) { return 0, true }

func (f *fakeRates) Stated(_ string, _ time.Duration, values []string) {
	f.stated = append(f.stated, values...)
}

// Guards against a request rate that is believed though the answer that states it is broken.
func TestRateInBrokenHeadIgnored(t *testing.T) {
	for _, fault := range platformtest.HeadFaults() {
		server := startRaw(t, func(_ int64, r *http.Request) (string, bool) {
			return fault.Apply(strings.Replace(httpText("200 OK", idOf(r), "own"), "\r\n", "\r\n"+HeaderRequestRate+": 0.1\r\n", 1)), true
		})
		client, rates := NewClient(), new(fakeRates)
		client.SetRates(rates)
		_, err := doRead(t, client, server.url)
		assert.ErrorIs(t, err, ErrNoAnswer, fault.Name)
		assert.Equal(t, len(rates.stated), 0, fault.Name)
		client.Close()
	}
}

// Guards against a chat whose answer, or the rest of it, is taken from an answer with a broken head,
// and against one that is not requested again.
func TestBrokenHeadOfChatResumed(t *testing.T) {
	events := func(id string, from int) string {
		var text strings.Builder
		for number := from; number <= 3; number++ {
			fmt.Fprintf(&text, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n", number, id)
		}
		return text.String() + "id: 4\ndata: [DONE]\n\n"
	}
	for _, fault := range platformtest.HeadFaults() {
		for _, isStream := range []bool{true, false} {
			for _, brokenAt := range []int64{1, 2} {
				server := startRaw(t, func(number int64, r *http.Request) (string, bool) {
					id := idOf(r)
					answer := httpText("200 OK", id, fmt.Sprintf("{\"id\":%q}", id))
					from := 1
					if isStream && number > 1 && brokenAt > 1 {
						from = 2
					}
					if isStream {
						answer = httpText("200 OK", id, events(id, from))
					}
					switch {
					case number == brokenAt:
						return fault.Apply(answer), true
					case number < brokenAt && isStream:
						return answer[:strings.Index(answer, "id: 2")], false
					case number < brokenAt:
						return answer[:len(answer)-1], false
					}
					return answer, true
				})
				what := fmt.Sprintf("%s, stream %t, broken at %d", fault.Name, isStream, brokenAt)
				client := NewClient()
				response, err := client.Do(t.Context(), Request{Method: http.MethodPost, URL: server.url + ChatPath, ID: "same", Resumable: true})
				assert.NilError(t, err, what)
				if !isStream {
					body, _, err := client.ReadChat(t.Context(), response)
					assert.NilError(t, err, what)
					assert.Assert(t, strings.HasPrefix(string(body), `{"id":"same~`), "%s: %s", what, body)
					client.Close()
					continue
				}
				stream := client.NewStream(response)
				count := 0
				for err == nil {
					if _, err = stream.Next(t.Context()); err == nil {
						count++
					}
				}
				assert.Assert(t, errors.Is(err, io.EOF), "%s: %v", what, err)
				assert.Equal(t, count, 4, what)
				stream.Close(t.Context())
				client.Close()
			}
		}
	}
}

// Guards against the part of an answer that is forwarded as a whole one, or a whole one that is lost:
// the endpoint answers while the request is being written, and ends the connection.
func TestEarlyAnswer(t *testing.T) {
	upload := make([]byte, 8<<20)
	for _, example := range []struct {
		framing, body string
		isWhole       bool
	}{
		{"Content-Length: 5\r\n", "whole", true},
		{"Transfer-Encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n", true},
		{"Content-Length: 9\r\n", "part", false},
		{"Transfer-Encoding: chunked\r\n", "4\r\npart\r\n", false},
		// What ends with its connection is never known to be whole.
		{"Connection: close\r\n", "part", false},
	} {
		for _, end := range []platformtest.EarlyEnd{platformtest.EndReset, platformtest.EndClose, platformtest.EndHalf, platformtest.EndHalfReset} {
			for _, pause := range []time.Duration{0, time.Millisecond} {
				server := platformtest.NewEarlyServer(platformtest.EarlyAnswer{
					Text: func(r *http.Request) string {
						return "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": " + idOf(r) + "\r\n" + example.framing + "\r\n" + example.body
					},
					ReadFirst: 64 << 10, End: end, Pause: pause,
				})
				client := NewClient()
				for range 4 {
					what := fmt.Sprintf("%s%s, %v", example.framing, end, pause)
					var body []byte
					response, err := client.Do(t.Context(), Request{Method: http.MethodPost, URL: "http://" + server.Address, Body: upload, ID: "same"})
					if err == nil {
						body, err = ReadBody(response)
					}
					if example.isWhole {
						assert.Check(t, err == nil && string(body) == "whole", "%s: %q, %v", what, body, err)
						continue
					}
					assert.Check(t, errors.IsAny(err, ErrNoAnswer, ErrTruncated) && !errors.Is(err, ErrNotSent), "%s: %q, %v", what, body, err)
				}
				client.Close()
				server.Close()
			}
		}
	}
}
