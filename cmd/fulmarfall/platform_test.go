package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a check of a configuration whose exit code is wrong, that prints a key, or that leaves out what is wrong.
func TestCheckConfiguration(t *testing.T) {
	const (
		key   = "s2eek22xp4zhpfd4n8hk"
		sound = `{"version":2,"routes":[{"name":"r","host":"h","pathPrefix":"/r/","kind":"idempotent","timeoutMs":1000,"service":"s"}],
"services":[{"name":"s"}],"tenants":[{"name":"kami770","apiKeys":["` + key + `"],"ratePerS":5,"burst":5}]}`
	)

	folder := t.TempDir()

	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatalf("write document: %v", err)
		}

		return path
	}

	inForce := write("in-force", strings.Replace(strings.Replace(sound, `"version":2`, `"version":1`, 1), key, "caac6dnvhz6prvnzqjyn", 1))

	for name, tc := range map[string]struct {
		file, inForce string
		code          int
		output        []string
	}{
		"sound":              {write("sound", sound), "", exitOK, nil},
		"changes":            {write("next", sound), inForce, exitOK, []string{`change: team "kami770": keys: 1 new, 1 removed`}},
		"warning":            {write("warning", strings.Replace(sound, `"/r/"`, `"/r"`, 1)), "", exitOK, []string{`warning: route "r" never matches`}},
		"unknown field":      {write("unknown", strings.Replace(sound, `"kind"`, `"kinds"`, 1)), "", exitOK, []string{`warning: ignored: unknown field "kinds"`}},
		"error":              {write("error", strings.Replace(sound, `"timeoutMs":1000,`, "", 1)), "", exitFailure, []string{`error: route "r": timeout`}},
		"no JSON":            {write("text", sound[:len(sound)-1]), "", exitFailure, []string{"error: decode configuration"}},
		"wrong type":         {write("type", strings.Replace(sound, `["`+key+`"]`, `"`+key+`"`, 1)), "", exitFailure, []string{"error: decode configuration"}},
		"ignored":            {write("old", sound), write("newer", strings.Replace(sound, `"ratePerS":5`, `"ratePerS":6`, 1)), exitFailure, []string{"would be ignored"}},
		"missing":            {filepath.Join(folder, "none"), "", exitUsage, nil},
		"in force missing":   {write("again", sound), filepath.Join(folder, "none"), exitUsage, nil},
		"in force not valid": {write("once more", sound), write("cut", sound[:20]), exitUsage, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder

			err := checkConfiguration(&out, tc.file, tc.inForce)

			code := exitOK
			if err != nil {
				code = exitCode(err)
				out.WriteString(err.Error())
			}

			if code != tc.code {
				t.Errorf("exit code %d, want %d (%v)", code, tc.code, err)
			}

			for _, part := range tc.output {
				if !strings.Contains(out.String(), part) {
					t.Errorf("output is %q, want %q in it", out.String(), part)
				}
			}

			if strings.Contains(out.String(), key) {
				t.Errorf("output %q shows a key", out.String())
			}
		})
	}

	if got := run([]string{"check", "--configuration", filepath.Join(folder, "sound"), "--in-force", inForce}); got != exitOK {
		t.Errorf("exit code of the command is %d, want %d", got, exitOK)
	}
}
