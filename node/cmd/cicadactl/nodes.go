package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"

	"github.com/cicadatack/cicadatack/node/operators"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/route/httpapi"
	"github.com/cicadatack/cicadatack/state/httpanswer"
)

type statusCommand struct {
	Node string `arg:"--node,required" help:"operators' address of the node"`
}

type explainCommand struct {
	Node    string `arg:"--node,required" help:"operators' address of the node that served the request"`
	Request string `arg:"positional,required" help:"request id, from the header Cicadatack-Request"`
}

type drainCommand struct {
	Node string `arg:"--node,required" help:"operators' address of the node"`
}

type entryCommand struct {
	Node          string `arg:"--node,required" help:"callers' address of any node"`
	Key           string `arg:"--key,required,env:CICADATACK_KEY" help:"the team's key"`
	FailureDomain string `arg:"--failure-domain" help:"the caller's failure domain"`
}

func (c *statusCommand) run(ctx context.Context, args *arguments, out io.Writer) error {
	var s operators.Status
	if err := args.get(ctx, c.Node+operators.PathStatus, asOperator(args), &s); err != nil {
		return err
	}
	printStatus(out, s)
	return nil
}

func printStatus(out io.Writer, s operators.Status) {
	state := "ready"
	if !s.Ready {
		state = "not ready: " + s.Reason
	}
	fmt.Fprint(out, s.Name)
	if s.Environment != "" {
		fmt.Fprintf(out, "  %s/%s", s.Environment, s.Slot)
	}
	fmt.Fprintf(out, "  %s  %s\nrevision %d", s.FailureDomain, state, s.Revision)
	if s.Digest != "" {
		fmt.Fprintf(out, "  digest %s  watching the store: %t  spread among %d", s.Digest, s.Watching, s.Near)
	}
	if s.ProofMillis > 0 {
		fmt.Fprintf(out, "  proved %d ms ago", s.ProofMillis)
	}
	fmt.Fprintf(out, "  underway %d\n", s.Underway)
	for _, m := range s.Members {
		fmt.Fprintf(out, "member %-16s %-12s %-9s %s\n", m.Name, m.FailureDomain, m.State, m.Address)
	}
	for _, name := range sorted(s.Slots) {
		fmt.Fprintf(out, "service %-15s usable slots %d\n", name, s.Slots[name])
	}
	for _, name := range sorted(s.Replicas) {
		fmt.Fprintf(out, "service %-15s replicas", name)
		for _, state := range sorted(s.Replicas[name]) {
			fmt.Fprintf(out, " %s %d", state, s.Replicas[name][state])
		}
		fmt.Fprintln(out)
	}
	for _, name := range sorted(s.RateLimits) {
		for _, replica := range sorted(s.RateLimits[name]) {
			fmt.Fprintf(out, "service %-15s replica %s takes %.4g requests per second\n", name, replica, s.RateLimits[name][replica])
		}
	}
	for _, name := range sorted(s.Pushbacks) {
		for _, replica := range sorted(s.Pushbacks[name]) {
			fmt.Fprintf(out, "service %-15s replica %s wants no requests for %d ms\n", name, replica, s.Pushbacks[name][replica])
		}
	}
	for _, name := range sorted(s.CutOff) {
		fmt.Fprintf(out, "service %-15s no replica is reached for %d ms\n", name, s.CutOff[name])
	}
	for _, name := range sorted(s.IsolatedParts) {
		fmt.Fprintf(out, "service %-15s parts of prompts that are sent to no replica: %d\n", name, s.IsolatedParts[name])
	}
	for _, name := range sorted(s.LoadControl) {
		fmt.Fprintf(out, "service %-15s %s\n", name, loadText(s.LoadControl[name]))
	}
	if len(s.StoreCalls) > 0 {
		fmt.Fprint(out, "store calls")
		for _, name := range sorted(s.StoreCalls) {
			fmt.Fprintf(out, " %s %d", name, s.StoreCalls[name])
		}
		fmt.Fprintln(out)
	}
}

// loadText is the state of a service under load control.
func loadText(l operators.LoadControl) string {
	state := "load control: not saturated"
	if l.Saturated {
		state = fmt.Sprintf("load control: saturated, %.4g requests per second are admitted", l.AdmittedPerSecond)
	}
	return fmt.Sprintf("%s, wait %d ms, %.4g first events per second, figures of %d nodes", state, l.WaitMillis, l.FirstEventsPerSecond, l.Nodes)
}

func (c *explainCommand) run(ctx context.Context, args *arguments, out io.Writer) error {
	var reply operators.Explanation
	if err := args.get(ctx, c.Node+operators.PathExplain+url.PathEscape(c.Request), asOperator(args), &reply); err != nil {
		return err
	}
	for _, d := range reply.Decisions {
		printDecision(out, d)
	}
	return nil
}

func printDecision(out io.Writer, d decisionlog.Decision) {
	fmt.Fprintf(out, "%s  %-7s", d.At.UTC().Format("15:04:05.000"), d.Kind)
	if d.Chosen != "" {
		fmt.Fprintf(out, " %s", d.Chosen)
	}
	fmt.Fprintf(out, "  because: %s", d.Reason)
	for _, a := range d.Alternatives {
		fmt.Fprintf(out, "; instead of %s (score %.3f)", a.Name, a.Score)
	}
	for _, n := range d.TextValues {
		if n.Text != "" {
			fmt.Fprintf(out, "; %s %s", n.Name, n.Text)
		}
	}
	for _, name := range sorted(d.Values) {
		fmt.Fprintf(out, "; %s %.4g", name, d.Values[name])
	}
	fmt.Fprintln(out)
}

func (c *drainCommand) run(ctx context.Context, args *arguments, out io.Writer) error {
	if _, err := args.call(ctx, http.MethodPost, c.Node+"/v1/drain", asOperator(args), http.StatusAccepted); err != nil {
		return err
	}
	fmt.Fprintln(out, "draining; the process ends when its last request has")
	return nil
}

func (c *entryCommand) run(ctx context.Context, args *arguments, out io.Writer) error {
	var answer httpapi.EntryResponse
	address := c.Node + "/v1/entry?failure_domain=" + url.QueryEscape(c.FailureDomain)
	as := caller{key: c.Key, hint: "--key is a key of one of the teams in the document, --node the callers' address of a node"}
	if err := args.get(ctx, address, as, &answer); err != nil {
		return err
	}
	for _, a := range answer.Addresses {
		fmt.Fprintf(out, "%s  %s  weight %.2f\n", a.Address, a.FailureDomain, a.Weight)
	}
	fmt.Fprintf(out, "valid for %d ms\n", answer.ValidForMillis)
	return nil
}

// maxReply bounds what a node may answer.
const maxReply = 4 << 20

// caller is who calls a node: the key to show, empty for none, and what to do
// if it is refused.
type caller struct {
	key, hint string
}

func asOperator(args *arguments) caller {
	return caller{key: args.OperatorKey, hint: "give the key with --operator-key or CICADATACK_OPERATOR_KEY"}
}

// call makes one call of a node and returns the body of the answer, which must
// have the status wanted.
func (args *arguments) call(ctx context.Context, method, address string, as caller, wanted int) ([]byte, error) {
	client, scheme, err := args.client()
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, scheme+address, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if as.key != "" {
		request.Header.Set("Authorization", "Bearer "+as.key)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, explainDial(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if response.StatusCode != wanted {
		return nil, explainNode(response, body, as.hint)
	}
	return body, nil
}

// client reaches nodes in the clear, or over TLS if authorities are named.
func (args *arguments) client() (*http.Client, string, error) {
	if args.Authorities == "" {
		return clearClient, "http://", nil
	}
	pem, err := os.ReadFile(args.Authorities)
	if err != nil {
		return nil, "", Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, "", Error.New("%s holds no certificate in PEM form", args.Authorities)
	}
	return newClient(&http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}), "https://", nil
}

// clearClient reaches nodes in the clear.
var clearClient = newClient(http.DefaultTransport.(*http.Transport).Clone())

func newClient(t *http.Transport) *http.Client {
	return &http.Client{Transport: httpanswer.Checked(t, nil)}
}

func (args *arguments) get(ctx context.Context, address string, as caller, into any) error {
	body, err := args.call(ctx, http.MethodGet, address, as, http.StatusOK)
	if err != nil {
		return err
	}
	return Error.Wrap(json.Unmarshal(body, into))
}

func sorted[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
