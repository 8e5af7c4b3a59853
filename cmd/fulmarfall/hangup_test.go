package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"fulmarfall/platform"
)

// Guards against a process that SIGHUP ends because it starts: the settings, which are read early, are a pipe here, so the
// process is certain not to have got further.
func TestHangupDuringStart(t *testing.T) {
	folder := t.TempDir()
	buildPrograms(t, folder)

	for name, tc := range map[string]struct {
		args []string
		ends bool
	}{
		"entry VM":               {[]string{"entry"}, false},
		"control VM":             {[]string{"control"}, false},
		"node":                   {[]string{"node", "PIPE"}, false},
		"check of settings":      {[]string{"check", "PIPE"}, true},
		"check for the platform": {[]string{"check", "--platform", "PIPE"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			pipe := filepath.Join(t.TempDir(), "settings")
			if err := syscall.Mkfifo(pipe, 0o600); err != nil {
				t.Fatalf("create pipe: %v", err)
			}

			args := strings.Split(strings.ReplaceAll(strings.Join(tc.args, " "), "PIPE", pipe), " ")
			cmd := exec.CommandContext(t.Context(), filepath.Join(folder, "fulmarfall"), args...)
			cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+pipe)

			var output bytes.Buffer

			cmd.Stderr = &output
			if err := cmd.Start(); err != nil {
				t.Fatalf("start: %v", err)
			}

			// Opening the pipe succeeds once the process reads its settings.
			w, err := os.OpenFile(pipe, os.O_WRONLY, 0)
			if err != nil {
				t.Fatalf("open pipe: %v", err)
			}

			if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
				t.Fatalf("signal: %v", err)
			}

			time.Sleep(100 * time.Millisecond)

			// The settings are empty, which a process that is still there reports.
			if err := w.Close(); err != nil {
				t.Fatalf("close pipe: %v", err)
			}

			_ = cmd.Wait() // fails in either case

			if ended := output.Len() == 0; ended != tc.ends {
				t.Errorf("ended by the signal: %v, want %v; output %q", ended, tc.ends, output.String())
			}
		})
	}
}
