package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"rosemarywalk/core/document"
	"rosemarywalk/core/finding"
	"rosemarywalk/io/operator"
)

// operatorTimeout is the timeout of a request to a host.
const operatorTimeout = 30 * time.Second

// operatorFlags are the flags of all commands that call the operator interface.
type operatorFlags struct {
	Host string `help:"Operators' URL of any host." default:"http://127.0.0.1:7200"`
}

func (f operatorFlags) call(method, path string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, f.Host+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Annotate(err, "build request")
	}
	client := http.Client{Timeout: operatorTimeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, errors.Annotate(err, "call host")
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, raw, errors.Annotate(err, "read answer")
}

func (f operatorFlags) statuses() ([]operator.Status, error) {
	_, raw, err := f.call(http.MethodGet, "/hosts", nil)
	if err != nil {
		return nil, err
	}
	var statuses []operator.Status
	err = json.Unmarshal(raw, &statuses)
	return statuses, errors.Annotate(err, "read answer")
}

func newTable() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0) }

// hostsCmd lists the hosts that are alive.
type hostsCmd struct{ operatorFlags }

// Run prints one host per line.
func (c *hostsCmd) Run() error {
	statuses, err := c.statuses()
	if err != nil {
		return err
	}
	out := newTable()
	fmt.Fprintln(out, "ADDRESS\tDOMAIN\tRUNNING\tWAITING\tOUT\tSERVERS\tUSABLE\tLISTING\tREVISION\tHOME OF\tERROR")
	for _, s := range statuses {
		fmt.Fprintf(out, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", s.Address, s.Domain, s.Running, s.Waiting,
			s.Outstanding, s.Servers, s.UsableServers, s.ListingRevision, s.ConfigRevision, strings.Join(s.HomeServices, ","), s.Error)
	}
	if err := out.Flush(); err != nil {
		return errors.Annotate(err, "print table")
	}
	evacuated := map[string]int{}
	for _, s := range statuses {
		for _, domain := range s.Evacuated {
			evacuated[domain]++
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(evacuated)) {
		fmt.Printf("evacuated: %s, known to %d of %d hosts\n", domain, evacuated[domain], len(statuses))
	}
	return nil
}

// evacuateCmd requests that a failure domain be evacuated, or takes the request back.
type evacuateCmd struct {
	operatorFlags
	Domain string `arg:"" help:"Failure domain."`
	Back   bool   `help:"Use its backend servers again."`
}

// Run sends the request to a host, which passes it on to the platform.
func (c *evacuateCmd) Run() error {
	method := http.MethodPut
	if c.Back {
		method = http.MethodDelete
	}
	status, raw, err := c.call(method, "/evacuations/"+url.PathEscape(c.Domain), nil)
	if err == nil && status != http.StatusNoContent {
		err = errors.Errorf("host returned status %d: %s", status, strings.TrimSpace(string(raw)))
	}
	return err
}

// configCmd groups the commands for the configuration document.
type configCmd struct {
	Check   configCheckCmd   `cmd:"" help:"Check a document and print every finding."`
	Book    configBookCmd    `cmd:"" help:"Book the sections of a document at their active dates."`
	Show    configShowCmd    `cmd:"" help:"Print the newest accepted sections."`
	Inforce configInforceCmd `cmd:"" help:"Print which versions are in force at every host, and where they differ."`
	History configHistoryCmd `cmd:"" help:"Print every version of the sections."`
}

// configCheckCmd validates a document without a host.
type configCheckCmd struct {
	File string `arg:"" help:"INI document."`
}

// Run returns the findings as an error, or prints a summary if there are none.
func (c *configCheckCmd) Run() error {
	raw, err := readFile(c.File)
	if err != nil {
		return err
	}
	sections, findings := document.Parse(c.File, raw)
	if len(findings) > 0 {
		return findings
	}
	fmt.Printf("%s: %d sections, no findings\n", c.File, len(sections))
	return nil
}

// configBookCmd books the sections of a document at their active dates.
type configBookCmd struct {
	operatorFlags
	File   string `arg:"" help:"INI document."`
	Team   string `help:"Book only this team's section."`
	Author string `help:"Who books." default:"operator"`
}

// bookResponse is a host's response to a booking.
type bookResponse struct {
	Booked []struct {
		Team    string    `json:"team"`
		Version int       `json:"version"`
		Active  time.Time `json:"active"`
		Change  string    `json:"change"`
	} `json:"booked"`
	Findings finding.List       `json:"findings"`
	Conflict *document.Conflict `json:"conflict"`
	Error    string             `json:"error"`
}

// Run books the document and prints the booked sections. Findings, a conflict and other
// failures are returned as an error.
func (c *configBookCmd) Run() error {
	raw, err := readFile(c.File)
	if err != nil {
		return err
	}
	query := url.Values{
		"file":   {c.File},
		"team":   {c.Team},
		"author": {c.Author},
	}
	_, answer, err := c.call(http.MethodPost, "/config?"+query.Encode(), raw)
	if err != nil {
		return err
	}
	var body bookResponse
	if err := json.Unmarshal(answer, &body); err != nil {
		return errors.Annotate(err, "read answer")
	}
	for _, b := range body.Booked {
		fmt.Printf("[%s] version %d, active %s, change %s\n", b.Team, b.Version, b.Active.Format(time.RFC3339), b.Change)
	}
	switch {
	case len(body.Findings) > 0:
		return body.Findings
	case body.Conflict != nil:
		return *body.Conflict
	case body.Error != "":
		return errors.New(body.Error)
	}
	return nil
}

// configShowCmd prints the newest accepted sections.
type configShowCmd struct {
	operatorFlags
	Team string `help:"Only this team's section."`
}

// Run prints the sections as a document.
func (c *configShowCmd) Run() error {
	_, raw, err := c.call(http.MethodGet, "/config?team="+url.QueryEscape(c.Team), nil)
	if err != nil {
		return err
	}
	fmt.Print(string(raw))
	return nil
}

// configInforceCmd prints the versions in force at every host.
type configInforceCmd struct{ operatorFlags }

// Run prints a line for each section and host, and returns an error if the hosts differ.
func (c *configInforceCmd) Run() error {
	statuses, err := c.statuses()
	if err != nil {
		return err
	}
	out := newTable()
	fmt.Fprintln(out, "SECTION\tVERSION\tHOST\tDOMAIN\tSINCE")
	versions := map[string]map[int]int{}
	for _, s := range statuses {
		if s.Error != "" {
			fmt.Fprintf(out, "?\t?\t%s\t%s\t%s\n", s.Address, s.Domain, s.Error)
		}
		for _, f := range s.InForce {
			fmt.Fprintf(out, "%s\t%d\t%s\t%s\t%s\n", f.Team, f.Entry.Version, s.Address, s.Domain, f.Since.Format(time.RFC3339))
			if versions[f.Team] == nil {
				versions[f.Team] = map[int]int{}
			}
			versions[f.Team][f.Entry.Version]++
		}
	}
	if err := out.Flush(); err != nil {
		return errors.Annotate(err, "print table")
	}
	return versionDifferences(versions, len(statuses))
}

func versionDifferences(versions map[string]map[int]int, hosts int) error {
	var findings finding.List
	for team, counts := range versions {
		sum := 0
		for _, n := range counts {
			sum += n
		}
		if len(counts) > 1 || sum < hosts {
			findings = append(findings, finding.Finding{
				Section: team,
				Text:    fmt.Sprintf("versions in force differ: %v (number of hosts by version), %d hosts queried", counts, hosts),
			})
		}
	}
	return findings.Err()
}

// configHistoryCmd prints all versions of the sections.
type configHistoryCmd struct {
	operatorFlags
	Team string `help:"Only this team's section."`
}

// Run prints one version per line.
func (c *configHistoryCmd) Run() error {
	_, raw, err := c.call(http.MethodGet, "/config/history?team="+url.QueryEscape(c.Team), nil)
	if err != nil {
		return err
	}
	var records []document.Record
	if err := json.Unmarshal(raw, &records); err != nil {
		return errors.Annotate(err, "read answer")
	}
	out := newTable()
	fmt.Fprintln(out, "SECTION\tVERSION\tBOOKED\tACTIVE\tAUTHOR\tCHANGE")
	for _, r := range records {
		for _, e := range r.Entries {
			fmt.Fprintf(out, "%s\t%d\t%s\t%s\t%s\t%s\n", r.Team, e.Version, e.Booked.Format(time.RFC3339),
				e.Active.Format(time.RFC3339), e.Author, e.ChangeID)
		}
	}
	return out.Flush()
}
