package sender

import (
	"net/http"
	"strings"
)

// versionPrefix starts a status line.
const versionPrefix = "HTTP/1."

// isMerged reports whether the header of a response contains the status line of another one.
// That is so if a server stopped within a line of a header and then sent another response on
// the connection: the fields behind the status line are those of the other response.
func isMerged(response *http.Response) bool {
	if containsStatusLine(response.Status) {
		return true
	}
	for _, values := range response.Header {
		for _, v := range values {
			if containsStatusLine(v) {
				return true
			}
		}
	}
	return false
}

// containsStatusLine reports whether a text contains the start of a status line: the
// version, a space and a status of three digits.
func containsStatusLine(text string) bool {
	for {
		_, rest, ok := strings.Cut(text, versionPrefix)
		if !ok {
			return false
		}
		const pattern = "0 000"
		if len(rest) >= len(pattern) && isDigit(rest[0]) && rest[1] == ' ' && isDigit(rest[2]) && isDigit(rest[3]) && isDigit(rest[4]) {
			return true
		}
		text = rest
	}
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
