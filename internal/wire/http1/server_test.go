package http1

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// lockedBuffer is a buffer that several goroutines may use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

// freeAddr returns a loopback address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// dial connects to a server that is being started.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	for range 100 {
		if conn, err := net.Dial("tcp4", addr); err == nil {
			return conn
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("server at %s: got no connection, want one", addr)
	return nil
}

// TestRefusedRequestIsLogged guards against a worker whose heartbeats are too large and refused without any trace in the log.
func TestRefusedRequestIsLogged(t *testing.T) {
	output := &lockedBuffer{}
	server := NewServer(ServerOptions{
		PublicAddr: freeAddr(t), MaxConnections: 10, IdleTimeout: time.Minute, ReadTimeout: time.Minute,
		Handler: func(*Request) {}, Log: slog.New(slog.NewTextHandler(output, nil)),
	})
	go func() { _ = server.Run() }()
	conn := dial(t, server.options.PublicAddr)
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte("POST /v1/report HTTP/1.1\r\nContent-Length: 65537\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if response, err := io.ReadAll(conn); err != nil || !strings.HasPrefix(string(response), "HTTP/1.1 413 ") {
		t.Errorf("response: got %q, %v, want status 413", response, err)
	}
	for _, want := range []string{"request refused", "status=413", "count=1", "remote_addr=" + conn.LocalAddr().String()} {
		if !strings.Contains(output.String(), want) {
			t.Errorf("log: got %q, want one that contains %q", output.String(), want)
		}
	}
}
