package http1

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"strconv"
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

// startServer starts a server that answers each request with status 200.
func startServer(t *testing.T, maxConnections int, readTimeout time.Duration) (addr string) {
	t.Helper()
	server := NewServer(ServerOptions{
		PublicAddr: freeAddr(t), MaxConnections: maxConnections, IdleTimeout: time.Minute, ReadTimeout: readTimeout,
		Handler: func(request *Request) { request.Respond(200, request.Body, 0) },
	})
	go func() { _ = server.Run() }()
	conn := dial(t, server.options.PublicAddr)
	expectServed(t, conn)
	_ = conn.Close()
	return server.options.PublicAddr
}

// expectServed sends a request and expects status 200.
func expectServed(t *testing.T, conn net.Conn) {
	t.Helper()
	send(t, conn, "GET /ready HTTP/1.1\r\n\r\n")
	if status := readStatus(conn); status != "200" {
		t.Errorf("response: got %q, want status 200", status)
	}
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := conn.Write([]byte(text)); err != nil {
		t.Errorf("send %.40q: got error %v, want none", text, err)
	}
}

// readStatus returns the status of a response, or an empty string if none comes within some seconds.
func readStatus(conn net.Conn) string {
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	buffer := make([]byte, 0, maxHeadBytes)
	for {
		n, err := conn.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if response, _, parseErr := Parse(buffer, true, MaxBodyBytes); response != nil {
			return strconv.Itoa(response.Status)
		} else if err != nil || parseErr != nil {
			return ""
		}
	}
}

// TestUnusedConnectionsDoNotKeepOthersOut guards against a client that takes all connections of a controller with requests that it does not
// send, or sends by half.
func TestUnusedConnectionsDoNotKeepOthersOut(t *testing.T) {
	const maxConnections = 8
	addr := startServer(t, maxConnections, time.Minute)
	for i := range 3 * maxConnections {
		conn := dial(t, addr)
		defer func() { _ = conn.Close() }()
		if i%2 == 0 {
			_, _ = conn.Write([]byte("POST /work HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf"))
		}
	}
	time.Sleep(minUnusedTime + 500*time.Millisecond)
	for range 3 {
		conn := dial(t, addr)
		expectServed(t, conn)
		_ = conn.Close()
	}
}

// TestUsedConnectionsAreKept checks that connections that have been used are not closed for others, and that the bound holds.
func TestUsedConnectionsAreKept(t *testing.T) {
	const maxConnections = 4
	addr := startServer(t, maxConnections, time.Minute)
	var used []net.Conn
	for range maxConnections {
		conn := dial(t, addr)
		defer func() { _ = conn.Close() }()
		expectServed(t, conn)
		used = append(used, conn)
	}
	time.Sleep(minUnusedTime + 200*time.Millisecond)
	refused := dial(t, addr)
	defer func() { _ = refused.Close() }()
	_, _ = refused.Write([]byte("GET /ready HTTP/1.1\r\n\r\n"))
	if status := readStatus(refused); status != "" {
		t.Errorf("connection beyond the bound: got %q, want it closed", status)
	}
	for _, conn := range used {
		expectServed(t, conn)
	}
}

// TestSlowRequestsEnd checks that a request that is sent slowly is served if it is complete within the read timeout, and that its
// connection is closed otherwise, while other users are served.
func TestSlowRequestsEnd(t *testing.T) {
	const readTimeout = 2 * time.Second
	addr := startServer(t, 100, readTimeout)
	slow, half, endless := dial(t, addr), dial(t, addr), dial(t, addr)
	defer func() { _, _, _ = slow.Close(), half.Close(), endless.Close() }()
	begin := time.Now()
	send(t, half, "\r\nGET /ready HTTP/1.1\r\n")
	send(t, endless, "POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, part := range []string{"POST /work HTTP/1.1\r\nTransfer-", "Encoding: chunked\r\n\r\n1\r", "\na\r\n0\r\n", "\r\n"} {
		send(t, slow, part)
		send(t, endless, "1\r\na\r\n")
		time.Sleep(300 * time.Millisecond)
		other := dial(t, addr)
		expectServed(t, other)
		_ = other.Close()
	}
	if status := readStatus(slow); status != "200" {
		t.Errorf("slow request: got %q, want status 200", status)
	}
	for name, conn := range map[string]net.Conn{"half-sent": half, "endless": endless} {
		if status := readStatus(conn); status != "" {
			t.Errorf("%s request: got %q, want no response", name, status)
		}
	}
	if elapsed := time.Since(begin); elapsed > readTimeout+2*timeoutCheckInterval {
		t.Errorf("connections closed after %v, want at most %v", elapsed, readTimeout+2*timeoutCheckInterval)
	}
}
