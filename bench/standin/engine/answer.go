package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// blockTokens is the size of a prefix block in tokens.
	blockTokens = 128
	// charactersPerToken converts text length to tokens.
	charactersPerToken = 4
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// PromptText joins the messages to the prompt that the engine processes.
func PromptText(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

// PromptTokens returns the number of tokens of a prompt, at least 1.
func PromptTokens(prompt string) int {
	return max(1, len(prompt)/charactersPerToken)
}

// AnswerTokens returns the length of the answer to a prompt, from 1 to maxTokens; if
// that is not positive, 128 is used. The length depends only on the prompt and on
// maxTokens, so that callers can check answers.
func AnswerTokens(prompt string, maxTokens int) int {
	if maxTokens <= 0 {
		maxTokens = 128
	}
	return 1 + int(xxhash.Sum64String(prompt)%uint64(maxTokens))
}

// Token returns token i of the answer to the prompt with this hash.
func Token(promptHash uint64, i int) string {
	return fmt.Sprintf("t%d-%04x ", i, uint16(promptHash>>(i%48)))
}

// Answer returns the whole answer to a prompt.
func Answer(messages []Message, maxTokens int) string {
	prompt := PromptText(messages)
	hash := xxhash.Sum64String(prompt)
	var b strings.Builder
	for i := range AnswerTokens(prompt, maxTokens) {
		b.WriteString(Token(hash, i))
	}
	return b.String()
}

// promptBlocks returns a hash for each full block of the prompt. It covers the prompt up
// to the end of the block, so that equal hashes mean equal prefixes.
func promptBlocks(prompt string) []uint64 {
	size := blockTokens * charactersPerToken
	blocks := make([]uint64, 0, len(prompt)/size)
	var d xxhash.Digest
	d.Reset()
	for len(prompt) >= size {
		_, _ = d.WriteString(prompt[:size])
		blocks = append(blocks, d.Sum64())
		prompt = prompt[size:]
	}
	return blocks
}
