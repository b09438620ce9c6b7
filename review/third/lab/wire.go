package lab

import (
	"embed"
	"strings"
)

// The settings, the configurations and the texts on the wire, as the users' pages have them.
//
//go:embed wire
var files embed.FS

// Text returns a file of the folder wire.
func Text(name string) string {
	text, err := files.ReadFile("wire/" + name)
	if err != nil {
		Fail("%v", err)
	}
	return string(text)
}

// Fill returns a file of the folder wire with values for its names, given in pairs.
func Fill(name string, pairs ...string) string {
	for i := 0; i < len(pairs); i += 2 {
		pairs[i] = "{{" + pairs[i] + "}}"
	}
	return strings.NewReplacer(pairs...).Replace(Text(name))
}

// Head is Fill for a head or a part of one, whose lines end as in HTTP.
func Head(name string, pairs ...string) string {
	return strings.ReplaceAll(Fill(name, pairs...), "\n", "\r\n")
}

// headers are the names of the headers that the stand-ins read.
var headers = func() map[string]string {
	names := make(map[string]string)
	for line := range strings.Lines(Text("headers.txt")) {
		key, name, _ := strings.Cut(strings.TrimSpace(line), "=")
		names[key] = name
	}
	return names
}()
