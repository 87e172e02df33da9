package gateway

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/basilrail/basilrail/internal/findings"
	"github.com/basilrail/basilrail/internal/settings"
)

const (
	// bytesPerToken is used to estimate token counts before a model has counted them.
	bytesPerToken = 4
	// defaultOutputTokens is the expected output if the caller sets no max_tokens.
	defaultOutputTokens = 256
	// autoModel lets the task's cascade choose the model.
	autoModel = "auto"
)

// rawObject is a JSON object whose fields are forwarded unchanged.
type rawObject map[string]json.RawMessage

// chatMessage is one message of a conversation.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// chatRequest is a caller's chat completion request.
type chatRequest struct {
	raw      rawObject
	model    string
	stream   bool
	messages []chatMessage
	// prompt is the conversation's text, for ratings, affinity and estimates.
	prompt string
	// maxTokens is the caller's limit on the output tokens, or zero.
	maxTokens int
}

// parseChatRequest parses a body and reports all faults together.
func parseChatRequest(body []byte) (*chatRequest, findings.List) {
	var faults findings.List
	req := &chatRequest{}
	if err := json.Unmarshal(body, &req.raw); err != nil {
		faults.Add("body", "not a JSON object: %v", err)
		return nil, faults
	}
	req.decodeField(&faults, "model", &req.model)
	req.decodeField(&faults, "stream", &req.stream)
	req.decodeField(&faults, "messages", &req.messages)
	req.decodeField(&faults, "max_tokens", &req.maxTokens)
	req.check(&faults)
	req.prompt = joinMessages(req.messages)
	return req, faults
}

func (r *chatRequest) decodeField(faults *findings.List, name string, into any) {
	raw, ok := r.raw[name]
	if !ok {
		return
	}
	if err := json.Unmarshal(raw, into); err != nil {
		faults.Add(name, "wrong type: %v", err)
	}
}

func (r *chatRequest) check(faults *findings.List) {
	if _, ok := r.raw["messages"]; !ok {
		faults.Add("messages", "missing")
	} else if len(r.messages) == 0 && len(*faults) == 0 {
		faults.Add("messages", "empty")
	}
	if r.maxTokens < 0 {
		faults.Add("max_tokens", "must not be negative")
	}
	if r.model == "" {
		r.model = autoModel
	}
}

// joinMessages renders a conversation as one text.
func joinMessages(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.Write(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// bodyFor returns the request's JSON with the version as its model and stream
// set as given.
func (r *chatRequest) bodyFor(ref settings.VersionRef, stream bool) ([]byte, error) {
	out := make(rawObject, len(r.raw)+2)
	for name, value := range r.raw {
		out[name] = value
	}
	model, err := json.Marshal(ref.String())
	if err != nil {
		return nil, err
	}
	out["model"] = model
	out["stream"] = json.RawMessage(strconv.FormatBool(stream))
	return json.Marshal(out)
}

// estimate returns the expected input and output tokens.
func (r *chatRequest) estimate() (input, output int) {
	output = r.maxTokens
	if output == 0 {
		output = defaultOutputTokens
	}
	return len(r.prompt)/bytesPerToken + 1, output
}
