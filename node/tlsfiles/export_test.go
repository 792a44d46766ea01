package tlsfiles

import "time"

// LookAgain lets the next handshake look at the files, whenever the last look
// was.
func (f *Files) LookAgain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.looked = time.Time{}
}
