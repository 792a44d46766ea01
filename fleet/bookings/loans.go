package bookings

import (
	"context"
	"net/http"
	"strconv"

	"github.com/twitchtv/twirp"

	"github.com/cicadatack/cicadatack/decide/retryloans"
	"github.com/cicadatack/cicadatack/fleet/bookings/bookingspb"
)

// RetryLoans decides which retries this node lends and borrows. It is safe for concurrent
// use. decide/retryloans says what the calls mean.
type RetryLoans interface {
	Ask(hub string, asHub bool) (retryloans.Message, retryloans.Ask)
	Receive(ask retryloans.Ask, reply retryloans.Message)
	Reply(node string, nodeIsHub bool, ask retryloans.Message) retryloans.Message
}

// SetRetryLoans makes the exchange lend and borrow retries. It is called before the first
// exchange.
func (e *Exchange) SetRetryLoans(loans RetryLoans) { e.loans = loans }

// tokenHeader carries retryloans.Message.Token in hexadecimal, in both directions. Messages
// without a token have no such header.
const tokenHeader = "Deposit-Token"

const hexadecimal = 16

// loanCall is the part of one call to a hub that concerns loans. It is the HTTP client of the
// call, because a generated client does not pass on the header of an answer.
type loanCall struct {
	loans  RetryLoans
	client *http.Client
	ask    retryloans.Ask
	token  uint64
}

// askLoans adds to a request what this node deposits and asks for.
func (e *Exchange) askLoans(ctx context.Context, hub Peer, request *bookingspb.ExchangeRequest) (context.Context, *loanCall, error) {
	call := &loanCall{loans: e.loans, client: e.client}
	if e.loans == nil {
		return ctx, call, nil
	}
	message, ask := e.loans.Ask(hub.Name, request.GetHub())
	call.ask = ask
	request.Loans = loansToWire(message.Entries)
	if message.Token == 0 {
		return ctx, call, nil
	}
	header := http.Header{}
	header.Set(tokenHeader, strconv.FormatUint(message.Token, hexadecimal))
	ctx, err := twirp.WithHTTPRequestHeaders(ctx, header)
	return ctx, call, err
}

// Do implements bookingspb.HTTPClient.
func (c *loanCall) Do(request *http.Request) (*http.Response, error) {
	response, err := c.client.Do(request)
	if err == nil {
		c.token = tokenOf(response.Header)
	}
	return response, err
}

// receive takes what the hub grants and what it invites this node to deposit.
func (c *loanCall) receive(answer *bookingspb.ExchangeResponse) {
	if c.loans != nil {
		c.loans.Receive(c.ask, retryloans.Message{Token: c.token, Entries: loansFromWire(answer.GetLoans())})
	}
}

// replyLoans returns what this node, as the hub of the asker, grants and wants.
func (e *Exchange) replyLoans(ctx context.Context, request *bookingspb.ExchangeRequest) ([]*bookingspb.RetryLoan, error) {
	if e.loans == nil {
		return nil, nil
	}
	token, _ := ctx.Value(tokenKey{}).(uint64)
	ask := retryloans.Message{Token: token, Entries: loansFromWire(request.GetLoans())}
	reply := e.loans.Reply(request.GetNode(), request.GetHub(), ask)
	if reply.Token != 0 {
		if err := twirp.SetHTTPResponseHeader(ctx, tokenHeader, strconv.FormatUint(reply.Token, hexadecimal)); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return loansToWire(reply.Entries), nil
}

// tokenKey is the key of a request's token in its context.
type tokenKey struct{}

// withToken passes the token of a request on to the generated server, which does not pass on
// headers.
func withToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if token := tokenOf(r.Header); token != 0 {
			r = r.WithContext(context.WithValue(r.Context(), tokenKey{}, token))
		}
		next.ServeHTTP(w, r)
	})
}

// tokenOf returns the token of a message; 0 if it has none that can be read. Deposits without
// a token are not taken.
func tokenOf(header http.Header) uint64 {
	token, err := strconv.ParseUint(header.Get(tokenHeader), hexadecimal, 64)
	if err != nil {
		return 0
	}
	return token
}

func loansToWire(entries []retryloans.Entry) []*bookingspb.RetryLoan {
	var wire []*bookingspb.RetryLoan
	for _, e := range entries {
		wire = append(wire, &bookingspb.RetryLoan{
			Service: e.Service, Deposit: float32(e.Deposit), Wanted: float32(e.Wanted), Granted: float32(e.Granted),
		})
	}
	return wire
}

func loansFromWire(wire []*bookingspb.RetryLoan) []retryloans.Entry {
	var entries []retryloans.Entry
	for _, l := range wire {
		entries = append(entries, retryloans.Entry{
			Service: l.GetService(), Deposit: float64(l.GetDeposit()), Wanted: float64(l.GetWanted()), Granted: float64(l.GetGranted()),
		})
	}
	return entries
}
