package policy

import (
	"bytes"
	"errors"

	"github.com/pelletier/go-toml/v2"
)

// Decode reads a policy from TOML. An unknown key or a value of the wrong type is an error that names the line and the key.
func Decode(text []byte) (*Document, error) {
	doc := new(Document)
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(doc); err != nil {
		return nil, Error.New("%s", describeTOML(err))
	}
	if err := requireRanks(text); err != nil {
		return nil, err
	}
	return doc, nil
}

// Encode returns a policy as TOML.
func Encode(doc *Document) ([]byte, error) {
	text, err := toml.Marshal(doc)
	return text, Error.Wrap(err)
}

// describeTOML returns the most detailed message that the TOML decoder provides for an error.
func describeTOML(err error) string {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return "unknown key:\n" + strict.String()
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		return decode.String()
	}
	return err.Error()
}
