package kwagententry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gin-gonic/gin"
	"github.com/rcrowley/go-metrics"

	"knapweedproxy/core/kwsiteconfig"
)

// emptyTokenSHA256 is the digest of an empty token, as a script makes it whose variable is not set.
const emptyTokenSHA256 = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

// TestEmptyTokensAdmitNobody guards against entries that let in who sends no token: without workspaces, and with one whose digest is missing or
// that of an empty token.
func TestEmptyTokensAdmitNobody(t *testing.T) {
	gin.SetMode(gin.ReleaseMode)
	for name, workspaces := range map[string][]kwsiteconfig.Workspace{
		"no list":                  nil,
		"empty list":               {},
		"no digest":                {{Name: "w"}},
		"digest of an empty token": {{Name: "w", TokenSHA256: emptyTokenSHA256}},
	} {
		r := newTestRole()
		r.metrics = metrics.NewRegistry()
		msg := newFullView(1, 0, 1)
		msg.Fleet.Sites[0].Workspaces = workspaces
		if _, err := r.applyView(msg); err != nil {
			t.Fatal(err)
		}
		router := gin.New()
		router.GET("/", r.authenticate, func(c *gin.Context) { c.Status(http.StatusOK) })
		for _, authorization := range []string{"", "Bearer", "Bearer ", "Bearer x", "Basic x"} {
			req := httptest.NewRequest(http.MethodGet, "/", nil)
			if authorization != "" {
				req.Header.Set("Authorization", authorization)
			}
			w := httptest.NewRecorder()
			router.ServeHTTP(w, req)
			if got, want := w.Code, http.StatusUnauthorized; got != want {
				t.Errorf("%s, Authorization %q: got status %d, want %d", name, authorization, got, want)
			}
		}
	}
}
