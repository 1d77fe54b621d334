package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"gullrudder/internal/site/datadir"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/http1"
	"gullrudder/internal/wire/server"

	"github.com/spf13/cobra"
)

const (
	requestTimeout = 5 * time.Second
	minRetryDelay  = time.Second
	maxRetryDelay  = 30 * time.Second
)

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// tableColumnGap is the number of spaces between two columns of a table.
const tableColumnGap = 2

// apiClient sends a user's requests to the controllers and prints the responses.
type apiClient struct {
	servers      []string // controller addresses, tried in turn
	server       string   // --server
	dataDir      string   // --data
	output       string   // --output
	retryTimeout time.Duration
	client       *http1.Client
	site         *datadir.Site // the site on this machine; nil if a controller was named
	out          io.Writer
}

// newServerClient returns a client that sends requests to one controller and prints nothing.
func newServerClient(server string, retryTimeout time.Duration) *apiClient {
	return &apiClient{servers: []string{server}, client: newHTTPClient(), retryTimeout: retryTimeout}
}

func newHTTPClient() *http1.Client { return http1.NewClient(1, 1, http1.MaxBodyBytes) }

// userCommand returns a command that sends requests to the controllers. It resolves their addresses before it calls run.
func userCommand(use, short, long string, args cobra.PositionalArgs, run func(a *apiClient, args []string) error) *cobra.Command {
	a := &apiClient{client: newHTTPClient()}
	cmd := &cobra.Command{Use: use, Short: short, Long: long, Args: args, RunE: func(cmd *cobra.Command, args []string) error {
		if err := a.resolveServers(); err != nil {
			return err
		}
		a.out = cmd.OutOrStdout()
		return run(a, args)
	}}
	apiFlags(cmd, a)
	return cmd
}

func apiFlags(cmd *cobra.Command, a *apiClient) {
	cmd.Flags().StringVar(&a.server, "server", os.Getenv("GULLRUDDER_SERVER"), "controller address, host:port (env GULLRUDDER_SERVER)")
	cmd.Flags().StringVar(&a.dataDir, "data", os.Getenv("GULLRUDDER_DATA"),
		"data directory of the local site, used if --server is not set (env GULLRUDDER_DATA); empty: ~/.gullrudder")
	cmd.Flags().StringVar(&a.output, "output", outputTable, "output format: table or json")
	cmd.Flags().DurationVar(&a.retryTimeout, "patience", time.Minute, "how long to retry a request while the service is unavailable")
}

// resolveServers sets the controller addresses: that of --server, or else those of the local site.
func (a *apiClient) resolveServers() error {
	if a.server != "" {
		a.servers = []string{a.server}
		return checkOutput(a.output)
	}
	site, err := datadir.Open(siteDir(a.dataDir))
	if err != nil {
		return &exitError{exitUsage, fmt.Errorf("no controller address (--server or GULLRUDDER_SERVER) is set, and no local site opens: %w", err)}
	}
	a.site = site
	for _, controller := range site.Controllers {
		a.servers = append(a.servers, controller.PublicAddr)
	}
	return checkOutput(a.output)
}

func checkOutput(output string) error {
	if output != outputTable && output != outputJSON {
		return &exitError{exitUsage, fmt.Errorf("--output %q: expected table or json", output)}
	}
	return nil
}

// get sends a GET request and decodes the response.
func (a *apiClient) get(path string, response any) error {
	return a.send(http.MethodGet, path, nil, response)
}

// send sends a request to the controllers and decodes the response.
func (a *apiClient) send(method, path string, body []byte, response any) error {
	return a.sendTo(a.servers, method, path, body, response)
}

// callMachinePool sends a request without a body to the machine pool of the site on this machine, and decodes the response.
func (a *apiClient) callMachinePool(method, path string, response any) error {
	if a.site == nil {
		return &exitError{exitUsage, errors.New("this command needs a local site: use --data DIR, without --server and GULLRUDDER_SERVER")}
	}
	return a.sendTo([]string{a.site.MachinePoolAddr}, method, path, nil, response)
}

func (a *apiClient) sendTo(servers []string, method, path string, body []byte, response any) error {
	msg, err := a.requestFrom(servers, method, path, body)
	if err != nil {
		return err
	}
	if isRefused(msg.Status) {
		return &exitError{exitRefused, fmt.Errorf("request refused with status %d%s", msg.Status, errorDetail(msg.Body))}
	}
	return decode(msg, response)
}

func decode(msg *http1.Message, response any) error {
	if err := codec.Unmarshal(msg.Body, response); err != nil {
		return &exitError{exitUnavailable, fmt.Errorf("decode the response: %w", err)}
	}
	return nil
}

// requestFrom sends a request to the servers in turn until one gives a final response or retryTimeout has passed. All requests
// of the protocol are safe to repeat.
func (a *apiClient) requestFrom(servers []string, method, path string, body []byte) (*http1.Message, error) {
	deadline := time.Now().Add(a.retryTimeout)
	for attempt := 0; ; attempt++ {
		msg, err := a.client.Do(servers[attempt%len(servers)], method, path, body, requestTimeout)
		if err == nil && isFinal(msg.Status) {
			return msg, nil
		}
		delay := minRetryDelay
		if err == nil {
			delay = min(max(minRetryDelay, msg.RetryAfter), maxRetryDelay)
			err = fmt.Errorf("the service responded with status %d%s", msg.Status, errorDetail(msg.Body))
		}
		if time.Now().Add(delay).After(deadline) {
			return nil, &exitError{exitUnavailable, err}
		}
		time.Sleep(delay)
	}
}

func isRefused(status int) bool { return status >= http.StatusMultipleChoices }

// isFinal reports whether repeating the request would get the same response.
func isFinal(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusConflict, http.StatusUnprocessableEntity:
		return true
	}
	return !isRefused(status)
}

// errorDetail returns ": " and the reason in the body of a refusal, or "" if the body has none.
func errorDetail(body []byte) string {
	var response server.ErrorResponse
	if codec.Unmarshal(body, &response) != nil || response.Error == "" {
		return ""
	}
	return ": " + response.Error
}

// show prints the value as JSON, or calls table to print it as a table, depending on --output.
func (a *apiClient) show(value any, table func(*printer)) error {
	if a.output == outputJSON {
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	columns := newTabWriter(a.out)
	p := newPrinter(columns)
	table(p)
	if err := p.firstError(); err != nil {
		return err
	}
	if err := columns.Flush(); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}

func newTabWriter(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 4, tableColumnGap, ' ', 0)
}

// escapePathSegment replaces the characters of an invalid ID that would change the path of a request.
func escapePathSegment(id string) string {
	return strings.Map(func(char rune) rune {
		if char <= ' ' || char >= 0x7f || strings.ContainsRune("/?#%", char) {
			return '_'
		}
		return char
	}, id)
}
