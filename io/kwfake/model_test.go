package kwfake

import (
	"fmt"
	"testing"
)

// TestDistinctPromptsDiffer demands that no two prompts share an answer, so that an answer in wrong hands shows.
func TestDistinctPromptsDiffer(t *testing.T) {
	seen := make(map[string]string)
	for i := range 200 {
		prompt := fmt.Sprintf("prompt number word%d", i)
		text, _, _ := ReferenceAnswer(6, prompt, 24)
		if other, taken := seen[text]; taken {
			t.Errorf("%q and %q have the same answer %q", other, prompt, text)
		}
		seen[text] = prompt
	}
}
