package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/fx"

	"rosemarywalk/io/client"
	hosts "rosemarywalk/io/platform"
	"rosemarywalk/io/settings"
	"rosemarywalk/kernel"
	"rosemarywalk/standin/platform"
	"rosemarywalk/standin/server"
)

const (
	demoService     = "valuation"
	demoServers     = 4
	demoSlots       = 8
	demoConnections = 64
	demoTasks       = 40
	demoTaskRunMs   = 50
	demoTimeout     = 10 * time.Second
)

// demoCmd runs hosts, backend servers and a platform in one process.
type demoCmd struct{}

// demo holds the components of a running demo.
type demo struct {
	platform   *platform.Platform
	servers    []*server.Server
	apps       []*fx.App
	callerURLs []string // base URLs
}

// Run starts a simulated platform, backend servers and two hosts, runs one job and
// prints a table of the results.
func (c *demoCmd) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	d := &demo{platform: platform.New(1)}
	defer d.stop()
	if err := d.start(ctx); err != nil {
		return err
	}
	return d.runJob(ctx)
}

func (d *demo) start(ctx context.Context) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Annotate(err, "listen for platform")
	}
	web := &http.Server{
		Handler:           d.platform.Router(),
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = web.Serve(listener) }()
	domains := []string{"makati", "quezon"}
	for i := range demoServers {
		if err := d.addServer(fmt.Sprintf("server-%d", i), domains[i%len(domains)]); err != nil {
			return err
		}
	}
	seed := ""
	for _, domain := range domains {
		address, err := d.addHost(ctx, domain, "http://"+listener.Addr().String(), seed)
		if err != nil {
			return err
		}
		seed = address
	}
	return nil
}

func (d *demo) addServer(id, domain string) error {
	s := server.New(server.Config{
		ID:          id,
		Slots:       demoSlots,
		Connections: demoConnections,
	})
	listener, err := server.Listen(s, "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.servers = append(d.servers, s)
	d.platform.SetHost(hosts.ListedHost{
		ID:          id,
		Address:     listener.Addr().String(),
		Domain:      domain,
		Services:    []string{demoService},
		State:       "live",
		Slots:       demoSlots,
		Connections: demoConnections,
	})
	return nil
}

// addHost starts a host on free ports and returns its peer address. An empty seed starts
// the first host.
func (d *demo) addHost(ctx context.Context, domain, platformURL, seed string) (string, error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return "", err
	}
	s := settings.Defaults(kernel.Schema(kernel.Standalone)).
		With("host", "domain", domain).
		With("log", "level", "error").
		With("log", "format", "console").
		With("platform", "url", platformURL).
		With("caller", "listen", addresses[0]).
		With("peer", "listen", addresses[1]).
		With("operator", "listen", addresses[2]).
		With("peer", "seeds", seed).
		With("drain", "linger", "0s").
		With("fleet", "hosts", "2")
	app := kernel.New(kernel.Standalone, s)
	if err := app.Start(ctx); err != nil {
		return "", errors.Annotate(err, "start host")
	}
	d.apps = append(d.apps, app)
	d.callerURLs = append(d.callerURLs, "http://"+addresses[0])
	return addresses[1], nil
}

// freeAddresses returns n loopback addresses with free ports. The ports are released on
// return, so another process could take them.
func freeAddresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Annotate(err, "find free port")
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// runJob submits a job to one host with a ticket issued by the other host, then repeats
// the submission at the issuing host.
func (d *demo) runJob(ctx context.Context) error {
	owner, other := client.New(d.callerURLs[0], nil), client.New(d.callerURLs[1], nil)
	ticket, err := owner.Ticket(ctx)
	if err != nil {
		return err
	}
	job := client.Job{Service: demoService}
	for range demoTasks {
		body, err := json.Marshal(server.Task{Run: demoTaskRunMs})
		if err != nil {
			return errors.Annotate(err, "encode task")
		}
		job.Tasks = append(job.Tasks, client.Task{Body: body})
	}
	outcome, took, err := d.submitWhenReady(ctx, other, ticket, job)
	if err != nil {
		return err
	}
	again, err := owner.Submit(ctx, ticket, job)
	if err != nil {
		return err
	}
	d.print(outcome, again, took)
	if !outcome.Complete() || !again.Complete() {
		return errors.Errorf("job did not complete: %s", outcome.Reason)
	}
	return nil
}

// submitWhenReady submits a job until it runs. Hosts refuse jobs until they have read the
// host list.
func (d *demo) submitWhenReady(ctx context.Context, c *client.Client, ticket string, job client.Job) (client.Outcome, time.Duration, error) {
	for {
		begin := time.Now()
		outcome, err := c.Submit(ctx, ticket, job)
		if err != nil || outcome.Ran != "no" || ctx.Err() != nil {
			return outcome, time.Since(begin), err
		}
		if ticket, err = c.Ticket(ctx); err != nil {
			return outcome, 0, err
		}
	}
}

func (d *demo) print(outcome, again client.Outcome, took time.Duration) {
	out := newTable()
	fmt.Fprintf(out, "job of %d tasks of %d ms\t%s in %s\n", demoTasks, demoTaskRunMs, outcome.State, took.Round(time.Millisecond))
	fmt.Fprintf(out, "resubmitted at the other host\t%s, %d answers\n", again.State, len(again.Answers))
	for i, s := range d.servers {
		starts := s.Starts()
		fmt.Fprintf(out, "server-%d\t%d tasks started, %d of them twice\n", i, starts.Total, starts.RepeatedStarts)
	}
	_ = out.Flush()
}

func (d *demo) stop() {
	for _, app := range d.apps {
		ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
		_ = app.Stop(ctx)
		cancel()
	}
}
