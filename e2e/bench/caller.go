package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cicadatack/cicadatack/route/httpapi"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

// keptConnections per address cover the most callers that are open at once.
const keptConnections = 4096

var client = &http.Client{Transport: &http.Transport{
	MaxIdleConnsPerHost: keptConnections,
	DisableCompression:  true,
}}

// question is one call of a model.
type question struct {
	address, key, model string
	tokens              int
	// timeout is the caller's own; zero: none.
	timeout time.Duration
	// silence is how long the caller waits for a token, the first included,
	// before it hangs up; zero: for ever.
	silence time.Duration
	// prompt is the question; empty: always the same one.
	prompt string
	// digest asks for a digest of the answer's text.
	digest bool
	// onToken, if set, is told of each token's number as it comes.
	onToken func(n int)
}

// usualPrompt is asked where the text does not matter.
const usualPrompt = "How much butter does Braga need tomorrow?"

// answer is what the caller received.
type answer struct {
	status int
	// refusal is the code of a refusal.
	refusal string
	tokens  int
	// whole is set if the closing marker came.
	whole bool
	// firstToken, refused and total are since the call.
	firstToken, total time.Duration
	// gap is the longest between two tokens.
	gap time.Duration
	// digest of the text, if it was asked for.
	digest uint64
	err    error
}

// ask streams one answer.
func ask(ctx context.Context, q question) answer {
	began := time.Now()
	if q.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, q.timeout)
		defer cancel()
	}
	if q.silence > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(ctx)
		defer cancel()
		hangUp := time.AfterFunc(q.silence, cancel)
		defer hangUp.Stop()
		q.onToken = func(int) { hangUp.Reset(q.silence) }
	}
	var a answer
	response, err := q.send(ctx)
	if err != nil {
		a.err = err
		a.total = time.Since(began)
		return a
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	if a.status >= http.StatusBadRequest {
		a.refusal = refusalCode(response.Body)
	} else {
		a.read(response.Body, began, q)
	}
	a.total = time.Since(began)
	return a
}

// refusalCode reads a refusal; without one the code is empty.
func refusalCode(body io.Reader) string {
	var refusal outcome.Body
	_ = json.NewDecoder(body).Decode(&refusal)
	return refusal.Error.Code
}

func (q question) send(ctx context.Context) (*http.Response, error) {
	prompt := q.prompt
	if prompt == "" {
		prompt = usualPrompt
	}
	body, err := json.Marshal(engineapi.ChatRequest{
		Model:     q.model,
		Messages:  []engineapi.Message{{Role: "user", Content: prompt}},
		MaxTokens: q.tokens,
		Stream:    true,
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.address+engineapi.PathChat, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+q.key)
	if q.timeout > 0 {
		request.Header.Set(outcome.HeaderTimeout, strconv.FormatInt(q.timeout.Milliseconds(), 10))
	}
	response, err := client.Do(request)
	return response, Error.Wrap(err)
}

var (
	// tokenMark is in each event with a token and in no other.
	tokenMark = []byte(`"content":"`)
	// textEnd ends a token's text; the stand-in's words hold no quotes.
	textEnd  = []byte(`"`)
	doneMark = []byte("data: " + engineapi.DoneMarker)
)

// read counts tokens without decoding them: this process also runs the engines.
func (a *answer) read(body io.Reader, began time.Time, q question) {
	last := began
	text := fnv.New64a()
	defer func() { a.digest = text.Sum64() }()
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			if err != io.EOF {
				a.err = Error.Wrap(err)
			}
			return
		}
		if bytes.HasPrefix(line, doneMark) {
			a.whole = true
		}
		_, token, found := bytes.Cut(line, tokenMark)
		if !found {
			continue
		}
		if q.digest {
			word, _, _ := bytes.Cut(token, textEnd)
			text.Write(word)
		}
		now := time.Now()
		if a.tokens == 0 {
			a.firstToken = now.Sub(began)
		} else {
			a.gap = max(a.gap, now.Sub(last))
		}
		last = now
		a.tokens++
		if q.onToken != nil {
			q.onToken(a.tokens)
		}
	}
}

// askEntry asks a node which addresses a team is to use.
func askEntry(ctx context.Context, address, key string) (httpapi.EntryResponse, error) {
	var a httpapi.EntryResponse
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entry", nil)
	if err != nil {
		return a, Error.Wrap(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return a, Error.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return a, Error.New("entry: %s", response.Status)
	}
	return a, Error.Wrap(json.NewDecoder(response.Body).Decode(&a))
}

// entries holds the teams' entry answers, as their callers keep them.
type entries struct {
	mu      sync.Mutex
	answers []httpapi.EntryResponse
}

// ask gets all teams' answers from a node.
func (e *entries) ask(ctx context.Context, address string) error {
	var all []httpapi.EntryResponse
	for i := range teamCount {
		a, err := askEntry(ctx, address, teamKey(i))
		if err != nil {
			return err
		}
		if len(a.Addresses) == 0 {
			return Error.New("the entry answer names no address")
		}
		all = append(all, a)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers = all
	return nil
}

// pickOther draws like pick from the addresses that have not failed a caller yet;
// if all have, it begins anew.
func (e *entries) pickOther(team int, failed map[string]bool) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var left []httpapi.EntryAddress
	for _, a := range e.answers[team].Addresses {
		if !failed[a.Address] {
			left = append(left, a)
		}
	}
	if len(left) == 0 {
		clear(failed)
		left = e.answers[team].Addresses
	}
	return draw(left)
}

// pick draws one of a team's addresses by weight.
func (e *entries) pick(team int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return draw(e.answers[team].Addresses)
}

func draw(addresses []httpapi.EntryAddress) string {
	total := 0.0
	for _, a := range addresses {
		total += a.Weight
	}
	at := rand.Float64() * total
	for _, a := range addresses {
		if at -= a.Weight; at <= 0 {
			return a.Address
		}
	}
	return addresses[len(addresses)-1].Address
}
