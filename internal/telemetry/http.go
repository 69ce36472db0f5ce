package telemetry

import (
	"log"

	"github.com/rs/zerolog"
)

// HTTPErrorLog returns an error log for net/http servers that writes each line as a debug event to logger.
func HTTPErrorLog(logger zerolog.Logger) *log.Logger {
	return log.New(httpLogWriter{logger}, "", 0)
}

type httpLogWriter struct{ log zerolog.Logger }

func (w httpLogWriter) Write(line []byte) (int, error) {
	w.log.Debug().Bytes("text", line).Msg("http_server")
	return len(line), nil
}
