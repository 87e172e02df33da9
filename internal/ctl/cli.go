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
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
	"github.com/willabides/kongplete"

	"github.com/basilrail/basilrail/internal/apierror"
	"github.com/basilrail/basilrail/internal/findings"
	"github.com/basilrail/basilrail/internal/httpanswer"
)

// Exit codes of the tool.
const (
	ExitOK = 0
	// ExitFailed means any failure without a code of its own.
	ExitFailed = 1
	// ExitUsage means an invalid command line.
	ExitUsage = 2
	// ExitFindings means that the settings are not valid.
	ExitFindings = 3
	// ExitConflict means that another operator's change was committed first.
	ExitConflict = 4
	// ExitUnknown means that the outcome of a change is unknown.
	ExitUnknown = 5
	// ExitRefused means that the operator's key is missing, unknown or lacks the
	// permission.
	ExitRefused = 6
	// ExitUnavailable means that no entry instance could be reached, or that the
	// table service could not be reached.
	ExitUnavailable = 7
)

const description = `Read and change the settings of a basilrail fleet.

Exit codes: 0 done; 1 failed; 2 wrong usage; 3 the settings are not valid; 4 another operator's change came first; ` +
	`5 the outcome of a change is not known, run again with --change-id; 6 the operator's key does not allow it; ` +
	`7 no entry instance could be reached, or the table service could not. check-platform has codes of its own.`

// cli is the command line.
type cli struct {
	Entries []string      `name:"entry" env:"BASILRAIL_ENTRIES" default:"http://127.0.0.1:8081" placeholder:"URL" help:"Operators' address of an entry instance; several are tried in turn."`
	Key     string        `env:"BASILRAIL_OPERATOR_KEY" help:"Operator's key."`
	Output  string        `short:"o" env:"BASILRAIL_OUTPUT" enum:"text,json" default:"text" help:"Form of the output: text or json."`
	Timeout time.Duration `env:"BASILRAIL_TIMEOUT" default:"30s" help:"Longest time to wait for the whole command, with a unit (30s, 2m)."`
	CAFile  string        `env:"BASILRAIL_CA_FILE" type:"existingfile" help:"PEM file of the authorities that sign the entry instances' certificates; the system's by default."`

	Get      getCmd      `cmd:"" help:"Print the documents in effect, or write them as files."`
	Tree     treeCmd     `cmd:"" help:"List the paths in effect with their revisions."`
	Diff     diffCmd     `cmd:"" help:"Show how a directory differs from what is in effect."`
	Apply    applyCmd    `cmd:"" help:"Apply a directory, unless another operator's change came first."`
	Check    checkCmd    `cmd:"" help:"Check a directory that holds the whole tree; needs no entry instance."`
	Status   statusCmd   `cmd:"" help:"Show the revision that each entry instance has in effect; those that lag come first."`
	Rollout  rolloutCmd  `cmd:"" help:"Show, pause, resume or withdraw rollouts."`
	Withdraw withdrawCmd `cmd:"" help:"Withdraw a version from every team: it receives no new work."`
	Explain  explainCmd  `cmd:"" help:"Tell what a request did: candidates, attempts, cost and bill."`
	Bills    billsCmd    `cmd:"" help:"List bills."`

	CheckPlatform checkPlatformCmd `cmd:"" help:"Check a configuration of the users' platform before it is sent; needs no entry instance. Exit codes: 0 clean, 1 warnings, 2 errors, 3 the input can't be read."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Install shell completion."`
}

// outputJSON is the value of --output for JSON.
const outputJSON = "json"

// run is the environment of a command, such as its context, API client and output.
type run struct {
	ctx    context.Context
	client *client
	printer
	warnings io.Writer
}

// Main runs the tool and returns its exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	var flags cli
	exited := -1
	parser, err := kong.New(&flags,
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
	// The parser prints help itself and requests an exit code.
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintf(errOut, "basilrailctl: %v\n", err)
		return usageExitCode(args, err)
	}
	if command.Selected().Name == checkPlatformName {
		return flags.CheckPlatform.exitCode(printer{out: out, json: flags.Output == outputJSON}, errOut)
	}
	err = flags.runCommand(ctx, command, out, errOut)
	if flags.Output == outputJSON {
		return reportJSON(errOut, err)
	}
	return report(errOut, err)
}

// usageExitCode returns the exit code of an invalid command line.
func usageExitCode(args []string, err error) int {
	var invalid *kong.ParseError
	isCheck := slices.Contains(args, checkPlatformName)
	// No subcommand is selected if a flag before it is invalid.
	if errors.As(err, &invalid) && invalid.Context.Selected() != nil {
		isCheck = invalid.Context.Selected().Name == checkPlatformName
	}
	if isCheck {
		return platformUnreadable
	}
	return ExitUsage
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
		client:   &client{entries: c.Entries, key: c.Key, http: httpanswer.NewClient(&http.Client{Transport: transport})},
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
			fmt.Fprintf(errOut, "%s is at revision %d; diff from that revision to your document:\n%s",
				conflict.Current.Path, conflict.Current.Revision, conflict.Diff.Text)
		}
	}
	return exitCode(err)
}

// failure is the JSON form of an error that did not come from the API.
type failure struct {
	Message  string        `json:"message"`
	ExitCode int           `json:"exit_code"`
	Findings findings.List `json:"findings,omitempty"`
}

// failureBody has the form of the API's error body.
type failureBody struct {
	Error failure `json:"error"`
}

// reportJSON prints an error as JSON and returns its exit code. An error of the API
// is printed as received.
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
	body := failure{Message: err.Error(), ExitCode: exitCode(err)}
	if errors.As(err, &body.Findings) {
		body.Message = "the settings are not valid"
	}
	_ = encoder.Encode(failureBody{Error: body})
	return exitCode(err)
}

func exitCode(err error) int {
	var list findings.List
	var unknown *outcomeUnknownError
	var refused *apiError
	var unreachable *unreachableError
	switch {
	case errors.As(err, &list):
		return ExitFindings
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &refused):
		return apiExitCode(refused)
	case errors.As(err, &unreachable), errors.Is(err, errUnreachable):
		return ExitUnavailable
	default:
		return ExitFailed
	}
}

func apiExitCode(refused *apiError) int {
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
