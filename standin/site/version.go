package site

import (
	"fmt"
	"strings"
	"time"

	"github.com/cicadatack/cicadatack/standin/replica"
)

// OtherService is a second plain service, to which versions of ConfigureVersion may send requests.
const OtherService = "cashbook"

// Version is what configurations of ConfigureVersion differ in.
type Version struct {
	Keys        []string
	IdleTimeout time.Duration
	// The timeouts of the model's route, and of the orders' and reads'.
	StreamTimeout, PlainTimeout time.Duration
	// Swapped sends orders to OtherService and reads to PlainService instead of the reverse.
	Swapped bool
	// OtherWeight, of 100, is the share of the open reads that goes to OtherService.
	OtherWeight int
}

// ConfigureVersion writes the next version of a configuration with two plain services.
func (s *Site) ConfigureVersion(v Version) {
	orders, reads := PlainService, OtherService
	if v.Swapped {
		orders, reads = reads, orders
	}
	text := fmt.Sprintf(versionText, v.StreamTimeout.Milliseconds(), v.PlainTimeout.Milliseconds(), orders,
		v.PlainTimeout.Milliseconds(), reads, v.PlainTimeout.Milliseconds(), 100-v.OtherWeight, v.OtherWeight, v.IdleTimeout.Milliseconds())
	s.configure(strings.NewReplacer("VERSION", "%d", "KEYS", "%s").Replace(text), v.Keys)
}

const versionText = `{"version":VERSION,
 "routes":[
  {"name":"r1","host":"a.example","prefix":"/ask/","kind":"stream","timeoutMs":%d,"goalMs":500,"gapAimMs":200,
   "maxAttempts":2,"resumable":true,"service":"llm"},
  {"name":"r2","host":"a.example","prefix":"/order/","kind":"unsafe","timeoutMs":%d,"goalMs":300,"maxAttempts":1,"service":"%s"},
  {"name":"r3","host":"a.example","prefix":"/read/","kind":"safe","timeoutMs":%d,"goalMs":300,"maxAttempts":2,"service":"%s"},
  {"name":"r4","host":"a.example","prefix":"/open/","kind":"safe","timeoutMs":%d,"goalMs":300,"maxAttempts":2,"public":true,
   "split":[{"service":"ledger","weight":%d},{"service":"cashbook","weight":%d}]}],
 "services":[
  {"name":"llm","maxConns":4000,"engine":{"kvBytes":8000,"layers":8,"layerMb":100,"step_ms":1,
   "models":[{"loadS":0.01}],"kinds":[{"name":"l4","mb":700,"pace":1}]}},
  {"name":"ledger","maxConns":96},{"name":"cashbook","maxConns":96}],
 "limits":{"maxBodyBytes":1000,"idleTimeoutMs":%d},
 "tenants":[{"name":"bogor","apiKeys":KEYS,"priority":1}]}`

// Silence makes those of the replicas that chosen names silent for a time, all at once. Their queues
// of new connections have the given length. It returns how many they are.
func (s *Site) Silence(lasts time.Duration, queue int, chosen func(*replica.Replica) bool) int {
	silent := 0
	for _, r := range s.Replicas() {
		if chosen(r) && r.Silence(lasts, queue) {
			silent++
		}
	}
	return silent
}
