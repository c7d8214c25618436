package command

import (
	"errors"
	"io"
	"net/http"
	"strconv"
)

// errAborted means that part of an answer was sent before it ended early; the
// connection to the caller must be aborted.
var errAborted = errors.New("entry: answer ended early")

// stream is the rest of an answer that is too long to buffer.
type stream struct {
	rest   io.ReadCloser
	length int64 // of the whole answer; -1 if unknown
	ended  func(error)
}

// copy passes on the part that was read and the rest. It returns errAborted if
// the target ended early.
func (s *stream) copy(w http.ResponseWriter, status int, head []byte) error {
	defer s.rest.Close()
	if s.length >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(s.length, 10))
	}
	w.WriteHeader(status)
	if _, err := w.Write(head); err != nil {
		s.ended(nil)
		return err
	}
	src := &readErr{r: s.rest}
	_, err := io.Copy(w, src)
	s.ended(src.err)
	if src.err != nil {
		return errAborted
	}
	return err
}

// drop ends the stream without passing it on.
func (s *stream) drop() {
	_ = s.rest.Close()
	s.ended(nil)
}

// readErr keeps the error of its reader apart from that of the writer.
type readErr struct {
	r   io.Reader
	err error
}

func (r *readErr) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}
