package replica

import (
	"encoding/json"
	"fmt"
	"net/http"
)

func (r *Replica) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Op, ID, Path string
		From, Target int
		Expected     *int64
	}
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch o.Op {
	case "place":
		r.place(w, o.From, o.Target, o.Expected)
	case "repath":
		r.repath(w, o.ID, o.Path)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (r *Replica) place(w http.ResponseWriter, from, to int, expected *int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if expected != nil && *expected != r.orders {
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.orders++
	r.from, r.to = from, to
	w.WriteHeader(http.StatusAccepted)
}

func (r *Replica) repath(w http.ResponseWriter, id, path string) {
	r.mu.Lock()
	detours, ok := r.paths[id]
	r.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if fault := r.checkPath(path); fault != "" {
		w.WriteHeader(http.StatusConflict)
		fmt.Fprintf(w, `{"addr":%q}`, fault)
		return
	}
	detours <- path
	w.WriteHeader(http.StatusOK)
}

func (r *Replica) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(w, `{"seq":%d,"born":%d,"busy":false,"pace":1,"kvUsed":0,"kvTotal":1000000,"layers":{"from":%d,"target":%d,"version":1}}`,
		r.orders, r.Born, r.from, r.to)
}
