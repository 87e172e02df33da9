package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/willabides/kongplete"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/findings"
)

// The exit codes.
const (
	ExitOK = 0
	// ExitFailed is any failure that has no code of its own.
	ExitFailed = 1
	// ExitUsage is a command line that can't be understood.
	ExitUsage = 2
	// ExitFindings is settings that are not valid.
	ExitFindings = 3
	// ExitConflict is a change that lost to another operator's.
	ExitConflict = 4
	// ExitUnknown is a change whose outcome is not known.
	ExitUnknown = 5
	// ExitRefused is a missing, unknown or insufficient operator's key.
	ExitRefused = 6
	// ExitUnavailable is that no entry instance, or not the table service, was reached.
	ExitUnavailable = 7
)

const description = `Read and change the settings of a basilrail fleet.

Exit codes: 0 done; 1 failed; 2 wrong usage; 3 the settings are not valid; 4 another operator's change came first; ` +
	`5 the outcome of a change is not known, run again with --change-id; 6 the operator's key does not allow it; ` +
	`7 no entry instance or not the table service was reached.`

// cli is the command line.
type cli struct {
	Entries []string      `name:"entry" env:"BASILRAIL_ENTRIES" default:"http://127.0.0.1:8081" placeholder:"URL" help:"Operators' address of an entry instance; several are tried in turn."`
	Key     string        `env:"BASILRAIL_OPERATOR_KEY" help:"Operator's key."`
	Output  string        `short:"o" env:"BASILRAIL_OUTPUT" enum:"text,json" default:"text" help:"Form of the output: text or json."`
	Timeout time.Duration `env:"BASILRAIL_TIMEOUT" default:"30s" help:"Longest time to wait for the whole command, with a unit (30s, 2m)."`
	CAFile  string        `env:"BASILRAIL_CA_FILE" type:"existingfile" help:"PEM file of the authorities that sign the entry instances' certificates; the system's by default."`

	Get      getCmd      `cmd:"" help:"Print the documents in force, or write them as files."`
	Tree     treeCmd     `cmd:"" help:"List the paths in force with their revisions."`
	Diff     diffCmd     `cmd:"" help:"Show how a directory differs from what is in force."`
	Apply    applyCmd    `cmd:"" help:"Put a directory in force, unless another operator's change came first."`
	Check    checkCmd    `cmd:"" help:"Check a directory that holds the whole tree; needs no entry instance."`
	Status   statusCmd   `cmd:"" help:"Show the revision that each entry instance has in force; those that lag come first."`
	Rollout  rolloutCmd  `cmd:"" help:"Show, pause, resume or withdraw roll-outs."`
	Withdraw withdrawCmd `cmd:"" help:"Withdraw a version from every team: it receives no new work."`
	Explain  explainCmd  `cmd:"" help:"Tell what a request did: candidates, attempts, cost and bill."`
	Bills    billsCmd    `cmd:"" help:"List bills."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Install shell completion."`
}

// outputJSON is the value of --output for JSON.
const outputJSON = "json"

// run is what the commands get.
type run struct {
	ctx    context.Context
	client *client
	printer
	warnings io.Writer
}

// Main runs the tool and returns its exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	var line cli
	exited := -1
	parser, err := kong.New(&line,
		kong.Name("basilrailctl"),
		kong.Description(description),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { exited = code }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		return report(errOut, err)
	}
	kongplete.Complete(parser)
	command, err := parser.Parse(args)
	// The parser prints help itself and asks to exit.
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintf(errOut, "basilrailctl: %v\n", err)
		return ExitUsage
	}
	err = line.runCommand(ctx, command, out, errOut)
	if line.Output == outputJSON {
		return reportJSON(errOut, err)
	}
	return report(errOut, err)
}

func (c *cli) runCommand(ctx context.Context, command *kong.Context, out, errOut io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	transport, err := c.transport()
	if err != nil {
		return err
	}
	return command.Run(&run{
		ctx:      ctx,
		client:   &client{entries: c.Entries, key: c.Key, http: &http.Client{Transport: transport}},
		printer:  printer{out: out, json: c.Output == outputJSON},
		warnings: errOut,
	})
}

func (c *cli) transport() (*http.Transport, error) {
	transport := &http.Transport{Proxy: http.ProxyFromEnvironment}
	if c.CAFile == "" {
		return transport, nil
	}
	pem, err := os.ReadFile(c.CAFile)
	if err != nil {
		return nil, errors.Wrap(err, "read --ca-file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("--ca-file %s holds no certificate", c.CAFile)
	}
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return transport, nil
}

// report prints an error and returns its exit code.
func report(errOut io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, strings.TrimSpace(err.Error()))
	var refused *apiError
	if errors.As(err, &refused) {
		for _, conflict := range refused.Conflicts {
			fmt.Fprintf(errOut, "%s is at revision %d; from there to your document:\n%s",
				conflict.Current.Path, conflict.Current.Revision, conflict.Diff.Text)
		}
	}
	return exitCode(err)
}

// failure is an error that did not come from the API, as JSON.
type failure struct {
	Message  string        `json:"message"`
	ExitCode int           `json:"exit_code"`
	Findings findings.List `json:"findings,omitempty"`
}

// failureBody has the form of the API's refusals.
type failureBody struct {
	Error failure `json:"error"`
}

// reportJSON prints an error as JSON, in the API's own form where it came from
// there, and returns its exit code.
func reportJSON(errOut io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	encoder := json.NewEncoder(errOut)
	encoder.SetIndent("", "  ")
	var refused *apiError
	if errors.As(err, &refused) {
		_ = encoder.Encode(refused.ErrorBody)
		return exitCode(err)
	}
	told := failure{Message: err.Error(), ExitCode: exitCode(err)}
	if errors.As(err, &told.Findings) {
		told.Message = "the settings are not valid"
	}
	_ = encoder.Encode(failureBody{Error: told})
	return exitCode(err)
}

func exitCode(err error) int {
	var list findings.List
	var unknown *unknownError
	var refused *apiError
	var unreachable *unreachableError
	switch {
	case errors.As(err, &list):
		return ExitFindings
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &refused):
		return exitCodeOf(refused)
	case errors.As(err, &unreachable), errors.Is(err, errUnreachable):
		return ExitUnavailable
	default:
		return ExitFailed
	}
}

func exitCodeOf(refused *apiError) int {
	switch refused.ErrorBody.Error.Code {
	case apierror.CodeConflict:
		return ExitConflict
	case apierror.CodeUnauthenticated, apierror.CodeForbidden:
		return ExitRefused
	case apierror.CodeStoreUnavailable, apierror.CodeSettingsStale, apierror.CodeDraining:
		return ExitUnavailable
	default:
		if len(refused.ErrorBody.Error.Findings) > 0 {
			return ExitFindings
		}
		return ExitFailed
	}
}
