// Package rawanswer has stand-ins for servers in trouble, which send raw bytes as answers.
package rawanswer

import (
	"io"
	"net/http"
	"strings"
)

// Echo returns the mark that stands for a header of the request in the text of an answer.
func Echo(header string) string { return "{" + header + "}" }

// Handler answers with a text, in which it replaces the marks of the given headers, and closes the
// connection.
func Handler(text string, echoed ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		answer := text
		for _, header := range echoed {
			answer = strings.ReplaceAll(answer, Echo(header), r.Header.Get(header))
		}
		_, _ = io.WriteString(conn, answer)
	}
}
