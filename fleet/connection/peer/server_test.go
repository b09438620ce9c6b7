package peer

import (
	"log/slog"
	"net"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// Guards against a stop that drops the answer to another router's call, such as the result
// of claim writes.
func TestServerCloseAnswersCallInProgress(t *testing.T) {
	key := []byte("key of the test fleet")
	begun, release := make(chan struct{}), make(chan struct{})
	server := NewServer(key, slog.New(slog.DiscardHandler))
	server.Register(typeTest, Handle(func(question int) int {
		close(begun)
		<-release
		return question + 1
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go server.Serve(listener)
	pool := NewPool(key)
	defer pool.Close()
	answers, failed := make(chan int, 1), make(chan error, 1)
	go func() {
		var answer int
		failed <- pool.Call(t.Context(), listener.Addr().String(), typeTest, 1, &answer)
		answers <- answer
	}()
	<-begun
	closed := make(chan struct{})
	go func() {
		_ = listener.Close()
		server.Close()
		close(closed)
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		server.mu.Lock()
		defer server.mu.Unlock()
		if server.isClosed {
			return poll.Success()
		}
		return poll.Continue("the server is open")
	})
	close(release)
	assert.NilError(t, <-failed)
	assert.Equal(t, <-answers, 2)
	<-closed
}
