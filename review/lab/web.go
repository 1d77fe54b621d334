package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"gullrudder/internal/wire/codec"
)

func number(v any) uint64 {
	switch n := v.(type) {
	case int64:
		return uint64(n)
	case uint64:
		return n
	case float64:
		return uint64(n)
	}
	return 0
}

func float(v any) float64 {
	switch n := v.(type) {
	case int64:
		return float64(n)
	case uint64:
		return float64(n)
	case float64:
		return n
	}
	return 0
}

func readBody(r *http.Request) codec.Object {
	raw, _ := io.ReadAll(r.Body)
	object, err := codec.UnmarshalMap(raw)
	if err != nil {
		return codec.Object{}
	}
	return object
}

func respond(w http.ResponseWriter, status int, body codec.Object) {
	raw, err := codec.Marshal(map[string]any(body))
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

// hang closes the connection without an answer.
func hang(w http.ResponseWriter) {
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_ = conn.Close()
	}
}

// serveHTTP serves a handler on a free loopback port and returns its address.
func serveHTTP(handler http.Handler) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

// call sends a request. Status 0 means that no answer came.
func call(client *http.Client, timeout time.Duration, method, url string, body codec.Object) (int, codec.Object, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		raw, err := codec.Marshal(map[string]any(body))
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		panic(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, 0
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, 0
	}
	after, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	object, err := codec.UnmarshalMap(raw)
	if err != nil {
		object = codec.Object{}
	}
	return response.StatusCode, object, time.Duration(after) * time.Second
}
