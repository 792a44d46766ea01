package httpanswer_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/state/httpanswer"
	"github.com/cicadatack/cicadatack/state/httpanswer/answertest"
)

const (
	unframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	framedHead   = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\n"
	// uploadBytes don't fit the buffers of a connection.
	uploadBytes = 16 << 20
	tries       = 20
)

// checkedClient returns a client as all that use the standard library's have it.
func checkedClient(t *testing.T, onFault httpanswer.OnFault) *http.Client {
	client := &http.Client{Transport: httpanswer.Checked(&http.Transport{}, onFault)}
	t.Cleanup(client.CloseIdleConnections)
	return client
}

func upload(client *http.Client, address string) (body string, err error) {
	response, err := client.Post("http://"+address+"/", "text/plain", bytes.NewReader(make([]byte, uploadBytes)))
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// earlyEnds are the ends of an answer without a length before its request was written. None proves that it is whole.
var earlyEnds = map[string]answertest.End{
	"reset at once": answertest.Reset(0), "reset later": answertest.Reset(30 * time.Millisecond),
	"closed unread": answertest.CloseUnread, "half closed": answertest.HalfClose,
}

// Guards against a part of an answer that looks whole: the write of the request takes the report of the reset
// with which it ends.
func TestAnswersThatEndDuringTheUploadAreNotWhole(t *testing.T) {
	for name, end := range earlyEnds {
		address := answertest.ServeEarly(t, unframedHead+"a part", end)
		client := checkedClient(t, nil)
		for range tries {
			if body, err := upload(client, address); err == nil {
				t.Errorf("%s: %q is taken for a whole answer", name, body)
			}
		}
	}
}

// Guards against sound answers that are refused: one that states its length may come before its request is
// written, any other behind it.
func TestSoundAnswersToUploadsAreWhole(t *testing.T) {
	for name, address := range map[string]string{
		"early, with a length": answertest.ServeEarly(t, framedHead+"whole", answertest.HalfClose),
		"behind the request":   answertest.Serve(t, func(string) string { return unframedHead + "whole" }),
	} {
		client := checkedClient(t, nil)
		for range tries {
			if body, err := upload(client, address); body != "whole" || err != nil {
				t.Errorf("%s: %q, %v", name, body, err)
			}
		}
	}
}

// Guards against parts of answers that no log and no metric tell of.
func TestFaultsAreTold(t *testing.T) {
	address := answertest.ServeEarly(t, unframedHead+"a part", answertest.HalfClose)
	told := map[httpanswer.Reason]int{}
	client := checkedClient(t, func(from string, f *httpanswer.Fault) {
		if from == address {
			told[f.Reason]++
		}
	})
	_, err := upload(client, address)
	if fault := (*httpanswer.Fault)(nil); !errors.As(err, &fault) || told[fault.Reason] != 1 {
		t.Errorf("%v, told %v", err, told)
	}
}
