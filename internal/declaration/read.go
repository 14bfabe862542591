package declaration

import (
	"io/fs"
	"path"
	"strings"

	"github.com/BurntSushi/toml"

	"github.com/wheatroad/wheatroad/internal/fault"
)

// ReadDir parses the .toml files in dir in name order, merges them into one
// declaration and validates it. A parse error includes the file and the key or line.
func ReadDir(dir fs.FS) (*Declaration, error) {
	names, err := fs.Glob(dir, "*.toml")
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, fault.New(fault.InvalidRequest, "directory contains no .toml file; nothing was read")
	}
	merged := &Declaration{}
	for _, name := range names {
		parsed, err := readFile(dir, name)
		if err != nil {
			return nil, err
		}
		merged.Tenants = append(merged.Tenants, parsed.Tenants...)
		merged.DrainedRacks = append(merged.DrainedRacks, parsed.DrainedRacks...)
	}
	merged.Normalize()
	return merged, merged.Validate()
}

func readFile(dir fs.FS, name string) (*Declaration, error) {
	content, err := fs.ReadFile(dir, name)
	if err != nil {
		return nil, err
	}
	parsed, err := Parse(string(content))
	if err != nil {
		cause := fault.From(err)
		return nil, fault.NewField(fault.InvalidRequest, path.Base(name), "%s", strings.TrimSpace(cause.Field+" "+cause.Detail))
	}
	return parsed, nil
}

// Parse decodes, normalizes and validates one TOML document. An unknown key is an error.
func Parse(document string) (*Declaration, error) {
	parsed := &Declaration{}
	meta, err := toml.Decode(document, parsed)
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "%s", err.Error())
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, invalid(unknown[0].String(), "unknown key; declaration rejected")
	}
	parsed.Normalize()
	return parsed, parsed.Validate()
}
