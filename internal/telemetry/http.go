package telemetry

import (
	"log"

	"github.com/rs/zerolog"
)

// HTTPErrorLog turns the log of net/http into events.
func HTTPErrorLog(logger zerolog.Logger) *log.Logger {
	return log.New(httpLogWriter{logger}, "", 0)
}

type httpLogWriter struct{ log zerolog.Logger }

func (w httpLogWriter) Write(line []byte) (int, error) {
	w.log.Debug().Bytes("text", line).Msg("http_server")
	return len(line), nil
}
