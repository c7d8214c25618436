package command

import (
	"errors"
	"io"
	"net/http"
	"strconv"
)

// errAborted means that a response ended early after part of it had been sent to
// the caller; the connection to the caller must be aborted.
var errAborted = errors.New("entry: answer ended early")

// stream is the rest of a response that is too long to buffer.
type stream struct {
	rest   io.ReadCloser
	length int64 // of the whole body in bytes; -1 if unknown
	ended  func(error)
}

// copy sends the buffered part and the rest to the caller. It returns errAborted
// if the target's response ended early.
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
	src := &trackedReader{r: s.rest}
	_, err := io.Copy(w, src)
	s.ended(src.err)
	if src.err != nil {
		return errAborted
	}
	return err
}

// drop closes the stream without forwarding it.
func (s *stream) drop() {
	_ = s.rest.Close()
	s.ended(nil)
}

// trackedReader records the error of its reader, which io.Copy does not
// distinguish from an error of the writer.
type trackedReader struct {
	r   io.Reader
	err error
}

func (r *trackedReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}
