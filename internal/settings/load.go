package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("settings")

// Defaults of optional settings, in the units of the fields.
const (
	defaultKeyPrefix      = "foxtailtack/"
	defaultStoreTimeoutMs = 2_000
	defaultLogLevel       = "info"
	defaultTraceSample    = 0.01
	defaultMaxConnections = 10_000
	defaultMaxHeaderBytes = 32 << 10
	defaultStopTimeoutMs  = 30_000
	// defaultMaxBodyMemoryMB covers two responses of the largest size that a policy may allow, while their buffers grow.
	defaultMaxBodyMemoryMB = 256
)

// Load reads and validates a settings file. The error names the file and, if known, the line and the key.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	s, err := Parse(text)
	if err != nil {
		return nil, Error.New("%s: %s", path, err)
	}
	return s, nil
}

// Parse decodes and validates settings.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{
		Store:  Store{KeyPrefix: defaultKeyPrefix, TimeoutMs: defaultStoreTimeoutMs},
		Log:    Log{Level: defaultLogLevel, TraceSample: defaultTraceSample},
		Limits: Limits{MaxConnections: defaultMaxConnections, MaxHeaderBytes: defaultMaxHeaderBytes, StopTimeoutMs: defaultStopTimeoutMs},
	}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, describeDecodeError(err)
	}
	return s, s.validate()
}

// describeDecodeError returns a decoding error in terms of the settings file: line, key and cause.
func describeDecodeError(err error) error {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) && len(unknownKeys.Errors) > 0 {
		first := unknownKeys.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("line %d: unknown key %q", line, strings.Join(first.Key(), "."))
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		return fmt.Errorf("line %d: key %q: %s", line, strings.Join(decodeErr.Key(), "."), removeGoField(decodeErr.Error()))
	}
	return err
}

// goFieldPattern matches the Go struct field that the decoder names in its errors. The error already names the key in the file,
// which identifies the same value.
var goFieldPattern = regexp.MustCompile(`struct field \S+ of type `)

func removeGoField(message string) string {
	return goFieldPattern.ReplaceAllString(strings.TrimPrefix(message, "toml: "), "")
}

// describeFieldError returns a validation error in terms of the settings file: key, value and constraint.
func describeFieldError(f validator.FieldError) error {
	_, key, _ := strings.Cut(f.Namespace(), ".")
	switch f.Tag() {
	case "required":
		return fmt.Errorf("key %q is missing", key)
	case "oneof":
		return fmt.Errorf("key %q: value %q is not allowed: want one of %s", key, f.Value(), strings.ReplaceAll(f.Param(), " ", ", "))
	default:
		return fmt.Errorf("key %q: value %v is not allowed: want %s %s", key, f.Value(), f.Tag(), f.Param())
	}
}

// validateFields checks a settings struct against its validate tags and returns the first violation.
func validateFields(s any) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	err := v.Struct(s)
	var fields validator.ValidationErrors
	if errors.As(err, &fields) {
		return describeFieldError(fields[0])
	}
	return err
}

func (s *Settings) validate() error {
	if err := validateFields(s); err != nil {
		return err
	}
	for key, address := range map[string]netip.AddrPort{
		"caller_address": s.CallerAddress, "peer_address": s.PeerAddress, "admin_address": s.AdminAddress,
	} {
		if !address.IsValid() {
			return fmt.Errorf("key %q: want an IP address and port", key)
		}
	}
	if !isStoreURL(s.Store.URL) {
		return fmt.Errorf("key %q: value %q is not allowed: want http:// or https:// with an IP address and port", "store.url", s.Store.URL)
	}
	return nil
}
