package settings

import (
	"fmt"
	"io"
)

// hiddenText is the placeholder that is printed instead of a secret.
const hiddenText = "<hidden>"

// Secret is text that must not appear in logs, dumps or error messages. Printing
// or encoding it yields a placeholder; only Reveal returns the text.
type Secret struct {
	text string
}

// NewSecret returns text as a secret.
func NewSecret(text string) Secret {
	return Secret{text: text}
}

// Reveal returns the text of the secret. Callers must compare it in constant time
// and must not log it.
func (s Secret) Reveal() string {
	return s.text
}

// Format writes a placeholder for every verb. Without it, verbs that fmt does
// not pass to String, such as %d, would print the text.
func (s Secret) Format(state fmt.State, _ rune) {
	_, _ = io.WriteString(state, hiddenText)
}

// String returns a placeholder.
func (s Secret) String() string {
	return hiddenText
}

// MarshalText returns a placeholder. YAML and JSON encoders use it.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(hiddenText), nil
}

// UnmarshalText sets the text of the secret.
func (s *Secret) UnmarshalText(text []byte) error {
	s.text = string(text)
	return nil
}
