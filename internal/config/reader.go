package config

import (
	"os"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
)

// This file exports the HCL reader for other files, with the same number formats and error messages.

// The units of a Field.
const (
	Span   = span
	Count  = count
	Number = number
	Word   = word
)

// Field describes a setting of a block and where its value goes: a *float64, *int, *int64 (microseconds) or *string.
type Field struct {
	Name     string
	Unit     unit
	Min, Max float64
	To       any
}

// Reader reads an HCL file and collects its errors.
type Reader struct{ reader reader }

// Open parses a file into a struct with gohcl tags. Errors in the file are returned by Err; the error of Open itself means
// that the file could not be read.
func Open(path string, layout any) (*Reader, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	out := &Reader{reader{path: path}}
	parsed, diags := hclparse.NewParser().ParseHCL(text, path)
	out.reader.diags = diags
	if parsed != nil && !diags.HasErrors() {
		out.reader.diags = append(out.reader.diags, gohcl.DecodeBody(parsed.Body, nil, layout)...)
	}
	return out, nil
}

// Valid reports whether no error has been found so far.
func (f *Reader) Valid() bool { return !f.reader.diags.HasErrors() }

// Fields reads the settings of a body and returns the names of those that are set. Unknown settings are errors.
func (f *Reader) Fields(body hcl.Body, fields ...Field) map[string]bool {
	var all []field
	for _, x := range fields {
		all = append(all, field{x.Name, x.Unit, x.Min, x.Max, x.To})
	}
	return f.reader.fields(body, all)
}

// AddError adds an error at the position of the body.
func (f *Reader) AddError(body hcl.Body, format string, args ...any) {
	f.reader.addError(body.MissingItemRange(), format, args...)
}

// Err returns all errors, each on a line with its position, or nil.
func (f *Reader) Err() error { return f.reader.err() }
