package query

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
)

// Register adds the query routes of an entry instance: /targets, /healthz and
// /readyz.
func Register(r *mux.Router, s *Source) {
	r.HandleFunc("/targets", s.serveTargets).Methods(http.MethodGet)
	r.HandleFunc("/healthz", serveHealth).Methods(http.MethodGet)
	r.HandleFunc("/readyz", s.serveReady).Methods(http.MethodGet)
}

func serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, map[string]string{"status": "alive"})
}

type readiness struct {
	Ready    bool   `json:"ready"`
	Reason   string `json:"reason"`
	Revision uint64 `json:"revision"`
	Index    uint64 `json:"index"`
}

func (s *Source) serveReady(w http.ResponseWriter, _ *http.Request) {
	v := s.View()
	ok, reason := v.Ready(time.Now())
	response := readiness{Ready: ok, Reason: reason}
	if v != nil {
		response.Revision, response.Index = uint64(v.Traffic.Revision), uint64(v.Traffic.Index)
	}
	status := http.StatusOK
	if !ok {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, response)
}

func (s *Source) serveTargets(w http.ResponseWriter, _ *http.Request) {
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
