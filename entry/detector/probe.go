package detector

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Requests of probes.
const (
	healthPath = "/health"
	// noTarget is a name that no target has.
	noTarget = "none"
)

// probeRequest returns a request that a target answers but doesn't run.
func probeRequest(expectedTarget string) []byte {
	path, header := healthPath, ""
	if expectedTarget != "" {
		path, header = "/", expectedTarget+": "+noTarget+"\r\n"
	}
	return []byte(http.MethodGet + " " + path + " HTTP/1.1\r\nHost: probe\r\n" + header + "Connection: close\r\n\r\n")
}

// httpProbe probes targets over TCP. An established connection does not show that the target is
// reached, since a middlebox may have accepted it.
type httpProbe struct {
	request []byte
}

func (p httpProbe) probe(ctx context.Context, address string) error {
	c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }() // the rest of the response is not needed
	if err := c.SetDeadline(time.Now().Add(responseTimeout)); err != nil {
		return err
	}
	if _, err := c.Write(p.request); err != nil {
		return err
	}
	_, err = c.Read(make([]byte, 1))
	return err
}
