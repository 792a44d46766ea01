package storefake

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/platform/kv"
	"github.com/cicadatack/cicadatack/state/promotion"
	"github.com/cicadatack/cicadatack/state/store"
)

// BenchmarkPromotion puts changes of a long text on trial and in force, as the
// operator's command does: with a new client each.
func BenchmarkPromotion(b *testing.B) {
	_, address := benchStore(b)
	operator := func() *promotion.Promoter {
		client, err := kv.Open(address, store.Config{})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(client.Close)
		return promotion.New(client)
	}
	ctx := context.Background()
	var trial, promote time.Duration
	for n := range b.N {
		began := time.Now()
		tried, err := operator().Trial(ctx, "dawn", textOf(10_000, n), "siti")
		if err != nil {
			b.Fatal(err)
		}
		tookTrial := time.Since(began)
		began = time.Now()
		if _, err := operator().Promote(ctx, "dawn", tried.Digest, int64(n), promotion.NewID(), "siti"); err != nil {
			b.Fatal(err)
		}
		if n > 0 { // the first trial writes every part
			trial += tookTrial
			promote += time.Since(began)
		}
	}
	rounds := float64(max(b.N-1, 1))
	b.ReportMetric(trial.Seconds()*1e3/rounds, "trial-ms")
	b.ReportMetric(promote.Seconds()*1e3/rounds, "promote-ms")
}

// textOf is a document of so many endpoints; one address ends in version.
func textOf(endpoints, version int) []byte {
	list := make([]string, endpoints)
	for i := range list {
		port := 80
		if i == endpoints/2 {
			port = 1000 + version
		}
		list[i] = fmt.Sprintf(`{"name":"endpoint-%d","address":"10.%d.%d.%d:%d","failure_domain":"bandung"}`, i, i>>16, i>>8&255, i&255, port)
	}
	return fmt.Appendf(nil, `{"format":1,"environment":"dawn","failure_domains":[{"name":"bandung","region":"java-west"}],
		"endpoints":[%s],"services":[],"teams":[],"policy":{}}`, strings.Join(list, ",\n"))
}
