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
)

// Load reads and checks a settings file. The error names the file and, where known, line and key.
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

// Parse reads and checks settings.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{
		Store:  Store{KeyPrefix: defaultKeyPrefix, TimeoutMs: defaultStoreTimeoutMs},
		Log:    Log{Level: defaultLogLevel, TraceSample: defaultTraceSample},
		Limits: Limits{MaxConnections: defaultMaxConnections, MaxHeaderBytes: defaultMaxHeaderBytes, StopTimeoutMs: defaultStopTimeoutMs},
	}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, describe(err)
	}
	return s, s.validate()
}

func describe(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		first := strict.Errors[0]
		line, _ := first.Position()
		return fmt.Errorf("line %d: unknown key %q", line, strings.Join(first.Key(), "."))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return fmt.Errorf("line %d: key %q: %s", line, strings.Join(decode.Key(), "."), withoutGoField(decode.Error()))
	}
	return err
}

// goField is how the decoder names the place of a value. The key, which stands before it, says the same in words of the file.
var goField = regexp.MustCompile(`struct field \S+ of type `)

func withoutGoField(message string) string {
	return goField.ReplaceAllString(strings.TrimPrefix(message, "toml: "), "")
}

// describeField says what is wrong with a field in words of the file.
func describeField(f validator.FieldError) error {
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

// validateFields checks the tags of a settings struct.
func validateFields(s any) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	err := v.Struct(s)
	var fields validator.ValidationErrors
	if errors.As(err, &fields) {
		return describeField(fields[0])
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
	if !checkStoreURL(s.Store.URL) {
		return fmt.Errorf("key %q: value %q is not allowed: want http:// or https:// with an IP address and port", "store.url", s.Store.URL)
	}
	return nil
}
