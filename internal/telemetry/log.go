// Package telemetry sets up logs, metrics and traces.
package telemetry

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

func init() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// NewLogger returns a logger that writes each event as one line of key=value pairs. Values with spaces, quotes or control
// characters are quoted as Go strings.
func NewLogger(w io.Writer, level string) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), Error.Wrap(err)
	}
	console := zerolog.ConsoleWriter{
		Out:     w,
		NoColor: true,
		FormatTimestamp: func(v any) string {
			return fmt.Sprintf("time=%v", v)
		},
		FormatLevel: func(v any) string {
			return fmt.Sprintf("level=%v", v)
		},
		FormatMessage: func(v any) string {
			if v == nil {
				return ""
			}
			return "event=" + quoteIfNeeded(fmt.Sprint(v))
		},
		FormatFieldName: func(v any) string {
			return fmt.Sprintf("%v=", v)
		},
		FormatErrFieldName: func(v any) string {
			return fmt.Sprintf("%v=", v)
		},
		FormatErrFieldValue: func(v any) string {
			return fmt.Sprint(v)
		},
	}
	return zerolog.New(console).Level(parsed).With().Timestamp().Logger(), nil
}

func quoteIfNeeded(s string) string {
	needsQuotes := func(r rune) bool { return r <= ' ' || r == '"' || r == '=' || r == '\\' || r > '~' }
	if s == "" || strings.ContainsFunc(s, needsQuotes) {
		return strconv.Quote(s)
	}
	return s
}
