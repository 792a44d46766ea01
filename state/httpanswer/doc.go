// Package httpanswer decides what an HTTP answer is. Whatever reads answers, of endpoints, other nodes or the
// store, reads them through this package, so that a faulty sender's bytes are judged once and in the same way:
//
//	client := http.Client{Transport: httpanswer.Checked(&http.Transport{}, nil)}
//	response, err := httpanswer.Read(reader, method, written) // for a reader of its own
//
// Bytes that are no answer give a *Fault, at the latest in place of the end of the body.
//
// An answer that states neither a length nor chunks ends with its connection (RFC 9112, section 6.3). It is whole
// only if its request was written to the end before. The kernel reports a reset once, and if the write of the
// request gets the report, the read of the answer gets io.EOF, as if the sender had closed the connection.
package httpanswer
