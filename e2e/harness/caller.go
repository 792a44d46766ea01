package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cicadatack/cicadatack/route/httpapi"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// Caller is one of a team's callers. Its methods do what the team's own program
// would do.
type Caller struct {
	Key    string
	Client *http.Client
	// Adapter is the adapter that its model calls ask for, if any.
	Adapter string
}

// Answer is a streamed answer as the caller received it.
type Answer struct {
	Status  int
	Request string
	Text    string
	Tokens  int
	// Whole is set if the closing marker came.
	Whole   bool
	Outcome outcome.Outcome
	// Error is the refusal or the error event, empty if there was none.
	Error string
}

// Entry asks a node which entry VMs to use.
func (c *Caller) Entry(ctx context.Context, node, domain string) (httpapi.EntryResponse, error) {
	var answer httpapi.EntryResponse
	response, err := c.do(ctx, http.MethodGet, "http://"+node+"/v1/entry?failure_domain="+domain, nil, nil)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, Error.New("entry: %s", response.Status)
	}
	return answer, Error.Wrap(json.NewDecoder(response.Body).Decode(&answer))
}

// Chat streams one answer and calls onToken, if not nil, with each token as it
// comes.
func (c *Caller) Chat(ctx context.Context, node, prompt string, maxTokens int, onToken func(n int, token string)) (Answer, error) {
	return c.Converse(ctx, node, []engineapi.Message{{Role: "user", Content: prompt}}, maxTokens, onToken)
}

// Converse is Chat with all messages of a conversation.
func (c *Caller) Converse(ctx context.Context, node string, messages []engineapi.Message, maxTokens int, onToken func(n int, token string)) (Answer, error) {
	model := Model
	if c.Adapter != "" {
		model += ":" + c.Adapter
	}
	body, err := json.Marshal(engineapi.ChatRequest{
		Model:     model,
		Messages:  messages,
		MaxTokens: maxTokens,
		Stream:    true,
	})
	if err != nil {
		return Answer{}, Error.Wrap(err)
	}
	response, err := c.do(ctx, http.MethodPost, "http://"+node+engineapi.PathChat, nil, body)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	a := Answer{Status: response.StatusCode, Request: response.Header.Get(outcome.HeaderRequest)}
	if response.StatusCode != http.StatusOK {
		return a.refused(response.Body)
	}
	return a, a.read(response, onToken)
}

func (a Answer) refused(body io.Reader) (Answer, error) {
	var refusal outcome.Body
	if err := json.NewDecoder(body).Decode(&refusal); err != nil {
		return a, Error.Wrap(err)
	}
	a.Outcome = refusal.Error.Outcome
	a.Error = refusal.Error.Code + ": " + refusal.Error.Message
	return a, nil
}

// event is any event of a stream towards a caller.
type event struct {
	Choices []engineapi.Choice `json:"choices"`
	Result  *struct {
		Outcome outcome.Outcome `json:"outcome"`
	} `json:"cicadatack"`
	Error *outcome.BodyError `json:"error"`
}

func (a *Answer) read(response *http.Response, onToken func(int, string)) error {
	var text strings.Builder
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
			continue
		case data == engineapi.DoneMarker:
			a.Whole = true
			continue
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return Error.Wrap(err)
		}
		a.take(e, &text, onToken)
	}
	a.Text = text.String()
	return Error.Wrap(lines.Err())
}

func (a *Answer) take(e event, text *strings.Builder, onToken func(int, string)) {
	if e.Error != nil {
		a.Error = e.Error.Code + ": " + e.Error.Message
		a.Outcome = e.Error.Outcome
	}
	if e.Result != nil {
		a.Outcome = e.Result.Outcome
	}
	for _, choice := range e.Choices {
		if choice.Delta.Content == "" {
			continue
		}
		a.Tokens++
		text.WriteString(choice.Delta.Content)
		if onToken != nil {
			onToken(a.Tokens, choice.Delta.Content)
		}
	}
}

// Reply is a plain service's answer as the caller received it.
type Reply struct {
	Status   int
	Outcome  outcome.Outcome
	Request  string
	Replayed bool
	Body     string
}

// Order places an order under a key; an empty key sends none.
func (c *Caller) Order(ctx context.Context, node, key, body string) (Reply, error) {
	header := http.Header{}
	if key != "" {
		header.Set(outcome.HeaderIdempotencyKey, key)
	}
	response, err := c.do(ctx, http.MethodPost, "http://"+node+"/services/"+Plain+"/orders", header, []byte(body))
	if err != nil {
		return Reply{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return Reply{
		Status:   response.StatusCode,
		Outcome:  outcome.Outcome(response.Header.Get(outcome.Header)),
		Request:  response.Header.Get(outcome.HeaderRequest),
		Replayed: response.Header.Get(outcome.HeaderReplayed) != "",
		Body:     strings.TrimSpace(string(text)),
	}, Error.Wrap(err)
}

func (c *Caller) do(ctx context.Context, method, address string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	// A test counts what it sent: the client must not send anything again by
	// itself.
	request.GetBody = nil
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	response, err := c.Client.Do(request)
	return response, Error.Wrap(err)
}
