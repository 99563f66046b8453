package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var requestCount atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+requestCount.Add(1)) }

// requestText returns a request of the tenant's client.
func requestText(path, id string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\nX-Credential: 9anu6wsjnbanfqasnmgk\r\n\r\n", path, id)
}

// send sends one request on a connection of its own and returns the status of the answer, 0 if there is none.
func (d *deployment) send(m *member, path, id string) int {
	n, err := net.DialTimeout("tcp", d.address(m, frontendPort), time.Second)
	if err != nil {
		return 0
	}
	defer n.Close()
	_ = n.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(n, requestText(path, id)); err != nil {
		return 0
	}
	a, err := http.ReadResponse(bufio.NewReader(n), nil)
	if err != nil {
		return 0
	}
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0
	}
	return a.StatusCode
}

// waitServing waits until an edge is ready and answers a request.
func (d *deployment) waitServing(m *member, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		a, err := operator.Get("http://" + d.address(m, readyPort) + "/ready")
		if err != nil {
			continue
		}
		_ = a.Body.Close()
		if a.StatusCode == http.StatusOK && d.send(m, "/vota118/small", newID()) == http.StatusOK {
			return true
		}
	}
	d.printf("%s does not serve", m.name)
	return false
}
