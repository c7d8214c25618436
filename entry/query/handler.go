package query

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

// Register adds the query routes of an entry instance.
func Register(r *mux.Router, s *Source) {
	r.HandleFunc("/targets", s.targets).Methods(http.MethodGet)
	r.HandleFunc("/healthz", health).Methods(http.MethodGet)
	r.HandleFunc("/readyz", s.ready).Methods(http.MethodGet)
}

func health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"status": "alive"})
}

type readiness struct {
	Ready    bool   `json:"ready"`
	Reason   string `json:"reason"`
	Revision uint64 `json:"revision"`
	Index    uint64 `json:"index"`
}

func (s *Source) ready(w http.ResponseWriter, _ *http.Request) {
	v := s.View()
	ok, reason := v.Ready(time.Now())
	answer := readiness{Ready: ok, Reason: reason}
	if v != nil {
		answer.Revision, answer.Index = uint64(v.Traffic.Revision), uint64(v.Traffic.Index)
	}
	status := http.StatusOK
	if !ok {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, answer)
}

func (s *Source) targets(w http.ResponseWriter, _ *http.Request) {
	list := []Target{}
	if v := s.View(); v != nil {
		list = append(list, v.Targets...)
	}
	writeJSON(w, http.StatusOK, list)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
