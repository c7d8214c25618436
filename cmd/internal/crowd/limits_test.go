package crowd

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against limits of a configuration that are not obeyed once it is in force, or whose
// change is not.
func TestLimitsOfTheConfiguration(t *testing.T) {
	s := startSite(t)
	body := strings.Repeat(" ", 2000)
	status := func() int { return s.status(http.MethodPost, s.settings.Callers(), "/orders/00000000000000ab", body) }
	publish := func(version int64, maxBody int) {
		s.operator.Limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
		s.waitUntil("the configuration is in force", func() bool {
			acked, err := s.operator.Publish(t.Context(), s.settings.ControlAddress(), version)
			return err == nil && acked
		})
	}
	publish(2, 1000)
	s.waitUntil("a body over the limit is refused", func() bool { return status() == http.StatusRequestEntityTooLarge })
	publish(3, 262144)
	s.waitUntil("it is read under the higher limit", func() bool { return status() == http.StatusBadRequest })
}
