package questionnaire

import _ "embed"

//go:embed form.toml
var form []byte

// Form returns a copy of the form: TOML with a comment for each question and example answers that use documentation
// addresses. The token hashes are empty, so that no deployment starts with publicly known tokens.
func Form() []byte { return append([]byte(nil), form...) }
