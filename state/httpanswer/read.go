package httpanswer

import (
	"bufio"
	"net/http"
)

// Written waits until a request was written or can't be any more, and reports whether it was. It is called once
// the connection has ended.
type Written func() bool

// Read reads the head of the final answer to a request of a method. It skips interim answers.
func Read(reader *bufio.Reader, method string, written Written) (*http.Response, error) {
	request := &http.Request{Method: method}
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, asFault(err)
		}
		if isInterim(response.StatusCode) {
			if err := judgeFields(response.Header); err != nil {
				return nil, err
			}
			continue
		}
		if err := judgeHead(response); err != nil {
			return nil, err
		}
		judgeBody(response, written)
		return response, nil
	}
}

// EndsWithConnection reports whether an answer states neither a length nor chunks, so that the end of its
// connection is its end.
func EndsWithConnection(r *http.Response) bool {
	return r.ProtoMajor == 1 && r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !r.Uncompressed
}
