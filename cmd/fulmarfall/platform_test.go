package main

import (
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a check of a configuration whose exit code is wrong, that prints a key, or that leaves out what is wrong.
func TestCheckConfiguration(t *testing.T) {
	// The first key of the team in the documents.
	const key = "s2eek22xp4zhpfd4n8hk"

	document := func(name string) string {
		return filepath.Join("..", "..", "platform", "testdata", "check", name+".json")
	}

	for name, tc := range map[string]struct {
		file, inForce string
		code          int
		output        []string
	}{
		"sound":              {document("sound"), "", exitOK, nil},
		"changes":            {document("sound"), document("in_force"), exitOK, []string{`change: team "kami770": keys: 1 new, 1 removed`}},
		"warning":            {document("warning"), "", exitOK, []string{`warning: route "r" never matches`}},
		"unknown field":      {document("unknown"), "", exitOK, []string{`warning: ignored: unknown field "kinds"`}},
		"error":              {document("error"), "", exitFailure, []string{`error: route "r": timeout`}},
		"no JSON":            {document("cut_by_one"), "", exitFailure, []string{"error: decode configuration"}},
		"wrong type":         {document("wrong_type"), "", exitFailure, []string{"error: decode configuration"}},
		"ignored":            {document("sound"), document("newer"), exitFailure, []string{"would be ignored"}},
		"missing":            {document("none"), "", exitUsage, nil},
		"in force missing":   {document("sound"), document("none"), exitUsage, nil},
		"in force not valid": {document("sound"), document("cut"), exitUsage, nil},
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

	if got := run([]string{"check", "--configuration", document("sound"), "--in-force", document("in_force")}); got != exitOK {
		t.Errorf("exit code of the command is %d, want %d", got, exitOK)
	}
}
