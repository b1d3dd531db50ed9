package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"

	hosts "rosemarywalk/io/platform"
	"rosemarywalk/standin/platform"
	"rosemarywalk/standin/server"
)

// platformCmd runs a platform.
type platformCmd struct {
	Listen string `help:"Address to listen on." default:"127.0.0.1:7900"`
	Seed   uint64 `help:"Decides which answers get lost." default:"1"`
}

// Run serves until a signal.
func (c *platformCmd) Run() error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Annotate(err, "listen for platform")
	}
	web := &http.Server{
		Handler:           platform.New(c.Seed).Router(),
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = web.Serve(listener) }()
	fmt.Println("platform on", listener.Addr())
	untilSignal()
	return nil
}

// serverCmd runs backend servers.
type serverCmd struct {
	Listen      string   `help:"Address of the first server; the others follow on the next ports." default:"127.0.0.1:8000"`
	Count       int      `help:"How many servers." default:"1"`
	Service     string   `help:"Service that they run." default:"valuation"`
	Slots       int      `help:"Tasks that each runs at once." default:"8"`
	Connections int      `help:"Connections that each accepts." default:"64"`
	Domains     []string `help:"Failure domains, in turn." default:"makati,quezon,pasig,taguig"`
	Platform    string   `help:"Platform to list the servers with; empty for none." default:"http://127.0.0.1:7900"`
}

// Run serves until a signal.
func (c *serverCmd) Run() error {
	host, port, err := net.SplitHostPort(c.Listen)
	if err != nil {
		return errors.Annotate(err, "read --listen")
	}
	first, err := strconv.Atoi(port)
	if err != nil {
		return errors.Annotate(err, "read --listen")
	}
	for i := range c.Count {
		address := net.JoinHostPort(host, strconv.Itoa(first+i))
		if err := c.one(address, c.Domains[i%len(c.Domains)]); err != nil {
			return err
		}
	}
	fmt.Printf("%d backend servers from %s\n", c.Count, c.Listen)
	untilSignal()
	return nil
}

func (c *serverCmd) one(address, domain string) error {
	s := server.New(server.Config{
		ID:          address,
		Slots:       c.Slots,
		Connections: c.Connections,
	})
	if _, err := server.Listen(s, address); err != nil {
		return err
	}
	if c.Platform == "" {
		return nil
	}
	return c.list(address, domain)
}

func (c *serverCmd) list(address, domain string) error {
	raw, err := json.Marshal(hosts.ListedHost{
		ID:          address,
		Address:     address,
		Domain:      domain,
		Services:    []string{c.Service},
		State:       "live",
		Slots:       c.Slots,
		Connections: c.Connections,
	})
	if err != nil {
		return errors.Annotate(err, "encode server")
	}
	request, err := http.NewRequest(http.MethodPut, c.Platform+"/hosts/"+address, bytes.NewReader(raw))
	if err != nil {
		return errors.Annotate(err, "list server")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Annotate(err, "list server")
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		fmt.Fprintln(os.Stderr, "platform answered", response.Status)
	}
	return nil
}
