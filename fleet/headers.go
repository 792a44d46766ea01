package fleet

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"github.com/cicadatack/cicadatack/fleet/exchange"
)

// peerHooks leave out the headers of a call that no peer reads: a quarter of an
// exchange without news, which each node makes and answers once a second.
var peerHooks = &twirp.ClientHooks{
	RequestPrepared: func(ctx context.Context, r *http.Request) (context.Context, error) {
		r.Header.Del("Accept")
		r.Header.Del("Twirp-Version")
		r.Header.Set("User-Agent", "") // net/http would name itself
		return ctx, nil
	},
}

// newPeer returns a peer's calls.
func (f *Fleet) newPeer(to Member, client *http.Client) exchange.Peer {
	return exchange.NewPeerProtobufClient(f.cfg.Scheme+"://"+to.Address, client, twirp.WithClientHooks(peerHooks))
}

// withoutDate leaves the date out of the answers: nobody reads it either.
func withoutDate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(w, r)
	})
}
