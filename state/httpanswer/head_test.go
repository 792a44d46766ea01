package httpanswer_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cicadatack/cicadatack/state/httpanswer"
	"github.com/cicadatack/cicadatack/state/httpanswer/answertest"
)

// get reads the answer to a GET.
func get(client *http.Client, address string) (status int, body string, err error) {
	response, err := client.Get("http://" + address + "/")
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// Guards against heads that are none, and of which a client of the standard library makes an answer, and against
// the bytes behind them that it takes for the answer to its next request.
func TestBrokenHeadsAreNoAnswers(t *testing.T) {
	for name, answer := range answertest.Broken("body") {
		address := answertest.Serve(t, func(string) string { return answer })
		client := checkedClient(t, nil)
		for range 3 {
			if status, body, err := get(client, address); err == nil {
				t.Errorf("%s: %d %q", name, status, body)
			}
		}
	}
}

// Guards against sound heads that are refused.
func TestSoundHeadsAreAnswers(t *testing.T) {
	for name, answer := range answertest.SoundHeads("body") {
		address := answertest.Serve(t, func(string) string { return answer })
		if _, body, err := get(checkedClient(t, nil), address); body != "body" || err != nil {
			t.Errorf("%s: %q, %v", name, body, err)
		}
	}
}

// Guards against faults whose reason is not told.
func TestReasonsOfBrokenHeads(t *testing.T) {
	for name, answer := range answertest.Broken("body") {
		address := answertest.Serve(t, func(string) string { return answer })
		_, _, err := get(checkedClient(t, nil), address)
		var fault *httpanswer.Fault
		if want := answertest.ReasonOf(name); want != "" && (!errors.As(err, &fault) || string(fault.Reason) != want || strings.Contains(fault.Detail, "body")) {
			t.Errorf("%s: %v, want %s", name, err, want)
		}
	}
}
