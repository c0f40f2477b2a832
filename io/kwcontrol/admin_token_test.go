package kwcontrol

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gin-gonic/gin"
)

// TestEmptyAdminTokenAdmitsNobody guards against an admin API that lets in who sends no token, where its digest is that of an empty one, as a
// script makes it whose variable is not set.
func TestEmptyAdminTokenAdmitsNobody(t *testing.T) {
	gin.SetMode(gin.ReleaseMode)
	const emptyTokenSHA256 = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
	r := &Role{cfg: Config{AdminTokenSHA256: emptyTokenSHA256}}
	router := gin.New()
	router.GET("/", r.checkToken, func(c *gin.Context) { c.Status(http.StatusOK) })
	for _, authorization := range []string{"", "Bearer", "Bearer ", "Bearer x"} {
		req := httptest.NewRequest(http.MethodGet, "/", nil)
		if authorization != "" {
			req.Header.Set("Authorization", authorization)
		}
		w := httptest.NewRecorder()
		router.ServeHTTP(w, req)
		if got, want := w.Code, http.StatusUnauthorized; got != want {
			t.Errorf("Authorization %q: got status %d, want %d", authorization, got, want)
		}
	}
}
