package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Course of the case.
const (
	answerRounds = 4
	answerBytes  = 900_000
	// usualConnections are the connections of a tenant's clients to one edge, and hotConnections those of a tenant that
	// sends 7 times its usual.
	usualConnections = 3
	hotConnections   = 21
	// pipelined is the number of requests that a client sends before the first one is answered, and pipelineGap the time
	// between two.
	pipelined   = 32
	pipelineGap = 40 * time.Millisecond
	// firstWork is the work of the first request, and work that of the others.
	firstWork   = 2500 * time.Millisecond
	work        = 2 * time.Millisecond
	warmRounds  = 100
	clientLimit = 6 * time.Second
)

// runAnswers has clients send safe requests before the first one is answered.
func runAnswers(d *deployment, trouble bool) verdict {
	large := []byte(strings.Repeat("x", answerBytes))
	ok := d.startAll(2, 20, firstConfig, func(r *http.Request, _ []byte) []byte {
		switch {
		case strings.HasPrefix(r.URL.Path, "/lepu270/"):
			time.Sleep(firstWork)
			return []byte("done")
		case strings.HasSuffix(r.URL.Path, "/small"):
			time.Sleep(work)
			return []byte("done")
		}
		time.Sleep(work)
		return large
	})
	if !ok {
		return notRun
	}
	d.wait.Go(d.watchMemory)
	connections := usualConnections
	if trouble {
		connections = hotConnections
	}
	for round := range answerRounds {
		for _, m := range d.edges {
			if !d.waitServing(m, 15*time.Second) {
				return notRun
			}
		}
		for range warmRounds {
			for _, m := range d.edges {
				d.send(m, "/vota118/small", newID())
			}
			time.Sleep(10 * time.Millisecond)
		}
		var clients sync.WaitGroup
		for _, m := range d.edges {
			for i := range connections {
				clients.Go(func() { d.pipeline(m, fmt.Sprintf("round %d, client %d of %s", round, i, m.name)) })
			}
		}
		clients.Wait()
		time.Sleep(time.Second)
		if d.hasFault(d.edges) {
			return broken
		}
	}
	return held
}

// pipeline sends requests on one connection without waiting for the answers, and reads the answers as they come.
func (d *deployment) pipeline(m *member, client string) {
	n, err := net.DialTimeout("tcp", d.address(m, frontendPort), time.Second)
	if err != nil {
		d.printf("%s: no connection", client)
		return
	}
	defer n.Close()
	_ = n.SetDeadline(time.Now().Add(clientLimit))
	ids := make([]string, pipelined)
	for i := range ids {
		ids[i] = newID()
	}
	d.printf("%s sends %s and, before it is answered, %s to %s", client, ids[0], ids[1], ids[pipelined-1])
	go func() {
		for i, id := range ids {
			path := "/vota118/3a"
			if i == 0 {
				path = "/lepu270/2f"
			}
			if _, err := io.WriteString(n, requestText(path, id)); err != nil {
				return
			}
			time.Sleep(pipelineGap)
		}
	}()
	b, statuses := bufio.NewReader(n), map[int]int{}
	for range ids {
		a, err := http.ReadResponse(b, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, a.Body)
		}
		if err != nil {
			d.printf("%s: answers by status %v, then the connection ends: %v", client, statuses, err)
			return
		}
		statuses[a.StatusCode]++
	}
	d.printf("%s: answers by status %v", client, statuses)
}
