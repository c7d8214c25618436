package answers

import (
	"embed"
	"fmt"
	"path"
	"strings"
)

//go:embed samples/*.yaml
var samples embed.FS

// Samples returns the names of the embedded answers files, sorted.
func Samples() []string {
	entries, _ := samples.ReadDir("samples")
	var out []string
	for _, e := range entries {
		out = append(out, strings.TrimSuffix(e.Name(), path.Ext(e.Name())))
	}
	return out
}

// Sample returns an embedded answers file with its comments. It fails if there is
// none of that name; the error lists the names.
func Sample(name string) ([]byte, error) {
	data, err := samples.ReadFile("samples/" + name + ".yaml")
	if err != nil {
		return nil, fmt.Errorf("answers: there is no sample %q; the samples are %s", name, strings.Join(Samples(), ", "))
	}
	return data, nil
}
