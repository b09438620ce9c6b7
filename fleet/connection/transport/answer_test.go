package transport_test

import (
	"expvar"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"gentianhead/core/process/table"
	"gentianhead/fleet/connection/transport"
	"gentianhead/fleet/process/telemetry"
	"gentianhead/platform"
	"gentianhead/platform/platformtest"
)

// headFaults are the broken heads of the tests of this package, by the metric's label for those
// that net/http accepts.
var headFaults = map[string][]platformtest.HeadFault{
	"status": platformtest.StatusFaults, "field name": platformtest.FieldFaults, "folded line": platformtest.FoldedFaults,
}

// brokenAnswers returns the metric's value for a label.
func brokenAnswers(label string) int64 {
	count, isSet := expvar.Get("transport_broken_answers").(*expvar.Map).Get(label).(*expvar.Int)
	if !isSet {
		return 0
	}
	return count.Value()
}

func readAll(t *testing.T, response *http.Response) string {
	t.Helper()
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(body)
}

func chunked(body string) string {
	var text strings.Builder
	writer := httputil.NewChunkedWriter(&text)
	_, _ = io.WriteString(writer, body)
	_ = writer.Close()
	return text.String() + "\r\n"
}

const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

func serveRaw(t *testing.T, answer platformtest.RawAnswer) *platformtest.RawServer {
	t.Helper()
	server := platformtest.NewRawServer(answer)
	t.Cleanup(server.Close)
	return server
}

func serveText(t *testing.T, text string) *platformtest.RawServer {
	t.Helper()
	return serveRaw(t, func(*http.Request) (string, bool) { return text, true })
}

// Guards against a broken answer that is returned, or that the metric doesn't count.
func TestBrokenHeadReturnedAndCounted(t *testing.T) {
	client := transport.NewClient()
	defer client.CloseIdleConnections()
	for label, faults := range headFaults {
		for _, fault := range faults {
			for _, answer := range []string{sound, strings.Replace(sound, "2\r\n\r\n{}", "0\r\n\r\n", 1)} {
				server := serveRaw(t, func(r *http.Request) (string, bool) {
					if r.URL.Path == "/sound" {
						return answer, true
					}
					return fault.Apply(answer), true
				})
				before := brokenAnswers(label)
				response, err := client.Get("http://" + server.Address)
				if err == nil {
					response.Body.Close()
				}
				assert.Assert(t, err != nil, "%s: %q", fault.Name, fault.Apply(answer))
				isCounted := brokenAnswers(label) == before+1
				assert.Equal(t, isCounted, errors.Is(err, transport.ErrBroken), "%s: %v", fault.Name, err)
				assert.Assert(t, isCounted || strings.Contains(err.Error(), "malformed"), "%s: %v", fault.Name, err)
				// The connection isn't used again.
				response, err = client.Get("http://" + server.Address + "/sound")
				assert.NilError(t, err)
				response.Body.Close()
				assert.Equal(t, server.Conns.Load(), int64(2), fault.Name)
			}
		}
	}
}

// Guards against a store's or an engine's answer that is believed though its head is broken, and
// against a write that is said to be refused by one.
func TestBrokenHeadOfPlatform(t *testing.T) {
	for _, faults := range headFaults {
		for _, fault := range faults {
			for _, status := range []string{"200 OK", "409 Conflict", "410 Gone", "503 Service Unavailable"} {
				server := serveText(t, fault.Apply(strings.Replace(sound, "200 OK\r\n", status+"\r\nStore-Era: 7\r\n", 1)))
				for _, store := range []*platform.Store{
					platform.NewStore("http://"+server.Address, transport.Guard),
					platform.NewStore("http://"+server.Address, transport.Guard, telemetry.TraceTransport),
				} {
					what := fmt.Sprintf("%s, %s", fault.Name, status)
					_, err := store.Table("t").Commit(t.Context(), table.Transaction{Puts: []table.Put{{Key: "k", Value: []byte("v")}}})
					assert.Assert(t, errors.Is(err, table.ErrIndeterminate), "%s: %v", what, err)
					assert.Assert(t, !errors.Is(err, table.ErrRefused), what)
					err = store.PutObject(t.Context(), "o", []byte("v"))
					assert.Assert(t, errors.Is(err, table.ErrIndeterminate), "%s: %v", what, err)
					_, err = store.GetObject(t.Context(), "o")
					assert.Assert(t, errors.Is(err, table.ErrIndeterminate), "%s: %v", what, err)
					_, err = store.Rows(t.Context(), "t")
					assert.Assert(t, err != nil && !errors.Is(err, table.ErrHistoryExpired), what)
					_, err = store.Changes(t.Context(), "t", 1, 0)
					assert.Assert(t, err != nil && !errors.Is(err, table.ErrHistoryExpired), what)
				}
				_, _, err := platform.NewEngineClient(transport.Guard).CachedParts(t.Context(), server.Address)
				assert.Assert(t, err != nil, fault.Name)
			}
		}
	}
}

// Guards against sound answers that are refused: interim ones before them, unusual but valid
// statuses and names, and bodies that look like a head.
func TestSoundAnswersReturned(t *testing.T) {
	client := transport.NewClient()
	defer client.CloseIdleConnections()
	for _, status := range []int{200, 204, 299, 304, 404, 418, 503, 599, 600, 999} {
		for _, interim := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX: y\r\n\r\n"} {
			for _, body := range []string{"", " folded\r\n\tX : y\r\nHTTP/1.1 000\r\n\r\n 000", strings.Repeat(" \r\n", 3000)} {
				hasBody := status != http.StatusNoContent && status != http.StatusNotModified
				if !hasBody {
					body = ""
				}
				for framing, text := range map[string]string{
					"length":  "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body,
					"chunks":  "Transfer-Encoding: chunked\r\n\r\n" + chunked(body),
					"the end": "Connection: close\r\n\r\n" + body,
				} {
					if !hasBody && framing == "chunks" {
						continue
					}
					answer := fmt.Sprintf("%sHTTP/1.1 %d\r\nX-a1!#$%%&'*+.^_`|~: \t x \r\nempty:\r\nEmpty: %s\r\n%s", interim, status, strings.Repeat("v ", 3000), text)
					server := serveRaw(t, func(*http.Request) (string, bool) { return answer, framing != "the end" })
					for range 2 {
						response, err := client.Get("http://" + server.Address)
						assert.NilError(t, err, "%d, %s", status, framing)
						assert.Equal(t, response.StatusCode, status)
						got := readAll(t, response)
						assert.Assert(t, got == body, "%d, %s, %q: %q", status, framing, body, got)
					}
				}
			}
		}
	}
}

// Guards against a write that is taken for made because the store answered while it was being sent
// and then reset the connection, and against an answer that is lost then.
func TestEarlyAnswerOfStore(t *testing.T) {
	for framing, isWhole := range map[string]bool{"Connection: close\r\n": false, "Content-Length: 9\r\n": false, "Content-Length: 0\r\n": true} {
		for _, pause := range []time.Duration{0, time.Millisecond} {
			server := platformtest.NewEarlyServer(platformtest.EarlyAnswer{
				Text: func(*http.Request) string { return "HTTP/1.1 200 OK\r\n" + framing + "\r\n" },
				End:  platformtest.EndReset, Pause: pause,
			})
			store := platform.NewStore("http://"+server.Address, transport.Guard)
			for range 8 {
				err := store.PutObject(t.Context(), "o", make([]byte, 8<<20))
				assert.Check(t, isWhole == (err == nil), "%s%v: %v", framing, pause, err)
				assert.Check(t, isWhole || errors.Is(err, table.ErrIndeterminate), "%s%v: %v", framing, pause, err)
			}
			server.Close()
		}
	}
}
