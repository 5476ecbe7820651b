// Package client calls a front over HTTP, for sorrelctl and the tools. It tries
// the next front when one does not answer, and never follows anything else.
package client

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	hertz "github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/joomcode/errorx"
)

var (
	namespace      = errorx.NewNamespace("client")
	ErrUnreachable = namespace.NewType("unreachable")
)

type Client struct {
	gateways    []string
	nextGateway atomic.Uint64
	hertz       *hertz.Client
}

// Must makes a client of IP:port addresses.
func MustNew(fronts []string) *Client {
	hlog.SetLevel(hlog.LevelFatal)
	h, err := hertz.NewClient(hertz.WithDialTimeout(time.Second), hertz.WithMaxConnsPerHost(4096), hertz.WithClientReadTimeout(time.Minute))
	if err != nil {
		panic(err)
	}
	return &Client{gateways: fronts, hertz: h}
}

// Response is what came back, whatever its status.
type Response struct {
	Status     int
	RetryAfter string
	Body       []byte
}

func (r Response) Decode(v any) error {
	if err := json.Unmarshal(r.Body, v); err != nil {
		return fmt.Errorf("status %d, body %.200q: %w", r.Status, r.Body, err)
	}
	return nil
}

// Once calls the front whose turn it is, and moves the turn on if that fails.
func (c *Client) CallOnce(method, path string, body []byte, headers map[string]string, wait time.Duration) (Response, error) {
	turn := c.nextGateway.Load()
	front := c.gateways[turn%uint64(len(c.gateways))]
	r, err := c.CallAddress(front, method, path, body, headers, wait)
	if err != nil || r.Status == 503 {
		c.nextGateway.CompareAndSwap(turn, turn+1)
	}
	return r, err
}

// At calls one address.
func (c *Client) CallAddress(address, method, path string, body []byte, headers map[string]string, wait time.Duration) (Response, error) {
	req, res := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(res)
	req.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	if body != nil {
		req.Header.SetContentTypeBytes([]byte("application/json"))
		req.SetBody(body)
	}
	for key, value := range headers {
		req.Header.Set(key, value)
	}
	if err := c.hertz.DoTimeout(context.Background(), req, res, wait); err != nil {
		return Response{}, ErrUnreachable.Wrap(err, "%s %s at %s", method, path, address)
	}
	return Response{res.StatusCode(), res.Header.Get("Retry-After"), append([]byte(nil), res.Body()...)}, nil
}

// Call tries every front in turn until one answers within its share of wait.
func (c *Client) Call(method, path string, body []byte, headers map[string]string, wait time.Duration) (Response, error) {
	var r Response
	var err error
	for range c.gateways {
		if r, err = c.CallOnce(method, path, body, headers, wait); err == nil && r.Status != 503 {
			return r, nil
		}
	}
	return r, err
}
