package config

import (
	"os"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
)

// This file lends the reading of HCL to files other than the operator's: the same forms of figures, the same faults.

// The units of a Field.
const (
	Span   = span
	Count  = count
	Number = rate0
	Word   = word
)

// Field is one setting of a block and where it goes: a *float64, *int, *int64 of microseconds or *string.
type Field struct {
	Name     string
	Unit     unit
	Min, Max float64
	To       any
}

// Reader is a file that is being read.
type Reader struct{ r reader }

// Open parses a file into a layout of blocks, as gohcl has it. Faults are kept for Err.
func Open(path string, layout any) (*Reader, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	out := &Reader{reader{path: path}}
	parsed, diags := hclparse.NewParser().ParseHCL(text, path)
	out.r.diags = diags
	if parsed != nil && !diags.HasErrors() {
		out.r.diags = append(out.r.diags, gohcl.DecodeBody(parsed.Body, nil, layout)...)
	}
	return out, nil
}

// Valid reports whether nothing is wrong so far.
func (f *Reader) Valid() bool { return !f.r.diags.HasErrors() }

// Fields reads the settings of a body and reports which are there. Others are faults.
func (f *Reader) Fields(body hcl.Body, fields ...Field) map[string]bool {
	var all []field
	for _, x := range fields {
		all = append(all, field{x.Name, x.Unit, x.Min, x.Max, x.To})
	}
	return f.r.fields(body, all)
}

// Fault adds a fault at the body's place.
func (f *Reader) Fault(body hcl.Body, format string, args ...any) {
	f.r.fault(body.MissingItemRange(), format, args...)
}

// Err is all faults, a line each with its place, or nil.
func (f *Reader) Err() error { return f.r.faults() }
