// Package client calls the HTTP API of the gateways, for sorrelctl and the tools.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	hertz "github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/protocol"
)

const (
	dialTimeout           = time.Second
	readTimeout           = time.Minute
	maxConnectionsPerHost = 4096
)

// ErrUnreachable is returned if there was no response in time. The request may have been
// executed nevertheless.
var ErrUnreachable = errors.New("no response")

// Client calls a list of gateways. It is safe for concurrent use.
type Client struct {
	gateways    []string
	nextGateway atomic.Uint64
	hertz       *hertz.Client
}

// MustNew creates a client for gateways at the given IP:port addresses.
func MustNew(gateways []string) *Client {
	hlog.SetLevel(hlog.LevelFatal)
	c, err := hertz.NewClient(hertz.WithDialTimeout(dialTimeout), hertz.WithMaxConnsPerHost(maxConnectionsPerHost),
		hertz.WithClientReadTimeout(readTimeout))
	if err != nil {
		panic(err)
	}
	return &Client{gateways: gateways, hertz: c}
}

// Response is an HTTP response of any status.
type Response struct {
	Status     int
	RetryAfter string
	Body       []byte
}

// Decode decodes the JSON body into v.
func (r Response) Decode(v any) error {
	if err := json.Unmarshal(r.Body, v); err != nil {
		return fmt.Errorf("decode response of status %d, body %.200q: %w", r.Status, r.Body, err)
	}
	return nil
}

// Call sends a request to the gateways in turn until one is available. The timeout applies to
// each of them separately.
func (c *Client) Call(
	method, path string, body []byte, headers map[string]string, timeout time.Duration,
) (response Response, err error) {
	for range c.gateways {
		response, err = c.CallOnce(method, path, body, headers, timeout)
		if err == nil && response.Status != http.StatusServiceUnavailable {
			return response, nil
		}
	}
	return response, err
}

// CallOnce sends a request to the current gateway. If the gateway is unavailable, the next
// request goes to the next one.
func (c *Client) CallOnce(
	method, path string, body []byte, headers map[string]string, timeout time.Duration,
) (Response, error) {
	current := c.nextGateway.Load()
	address := c.gateways[current%uint64(len(c.gateways))]
	response, err := c.CallAddress(address, method, path, body, headers, timeout)
	if err != nil || response.Status == http.StatusServiceUnavailable {
		c.nextGateway.CompareAndSwap(current, current+1)
	}
	return response, err
}

// CallAddress sends a request to one address.
func (c *Client) CallAddress(
	address, method, path string, body []byte, headers map[string]string, timeout time.Duration,
) (Response, error) {
	request, response := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(request)
	defer protocol.ReleaseResponse(response)
	request.SetMethod(method)
	request.SetRequestURI("http://" + address + path)
	if body != nil {
		request.Header.SetContentTypeBytes([]byte("application/json"))
		request.SetBody(body)
	}
	for key, value := range headers {
		request.Header.Set(key, value)
	}
	if err := c.hertz.DoTimeout(context.Background(), request, response, timeout); err != nil {
		return Response{}, fmt.Errorf("%s %s at %s: %w: %w", method, path, address, ErrUnreachable, err)
	}
	// The body is copied, since hertz reuses it.
	return Response{response.StatusCode(), response.Header.Get("Retry-After"), slices.Clone(response.Body())}, nil
}
