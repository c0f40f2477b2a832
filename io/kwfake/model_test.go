package kwfake

import (
	"fmt"
	"testing"
)

// TestDistinctPromptsDiffer checks that no two prompts share an answer: other tests rely on this to detect an answer
// that reaches the wrong caller.
func TestDistinctPromptsDiffer(t *testing.T) {
	seen := make(map[string]string)
	for i := range 200 {
		prompt := fmt.Sprintf("prompt number word%d", i)
		text, _, _ := ReferenceAnswer(6, prompt, 24)
		if other, exists := seen[text]; exists {
			t.Errorf("%q and %q have the same answer %q", other, prompt, text)
		}
		seen[text] = prompt
	}
}
