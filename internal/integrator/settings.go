package integrator

import (
	"context"
	"errors"
	"os"
	"reflect"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/conductor"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// settingsPause is the time between two looks at the settings file, which may
// change without a signal.
const settingsPause = 2 * time.Second

// watchSettings takes up changes of the settings file, at a signal or within
// settingsPause.
func (h *Host) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(settingsPause)
	defer ticker.Stop()
	last := h.modified()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.reload:
			h.log.Info().Msg("settings are read again")
		case <-ticker.C:
			if h.modified().Equal(last) {
				continue
			}
		}
		last = h.modified()
		h.reread()
	}
}

// modified returns when the settings file was changed, the zero time if it cannot
// be told.
func (h *Host) modified() time.Time {
	info, err := os.Stat(h.path)
	if err != nil {
		if !errors.Is(err, os.ErrNotExist) {
			h.log.Warn().Err(err).Msg("settings cannot be watched")
		}
		return time.Time{}
	}
	return info.ModTime()
}

// reread takes up the settings file. Wrong settings leave the old ones in force;
// addresses to listen on change with the next start only.
func (h *Host) reread() {
	next, err := platform.ReadSettings(h.path)
	if err != nil {
		h.log.Error().Err(err).Msg("settings are not usable")
		return
	}
	old := *h.settings.Load()
	if reflect.DeepEqual(old, next) {
		return
	}
	if next.Callers != old.Callers || next.Readiness != old.Readiness || next.IP != old.IP {
		h.log.Warn().Msg("changed addresses to listen on are used after the next start")
	}
	h.settings.Store(&next)
	h.calls.Move(next.Store)
	h.driver.Apply(conductor.Tuned{
		Stall: next.Stall, RetryRatio: next.RetryRatio, RetrySlack: next.RetrySlack, RetryWindow: next.RetryWindow,
	})
	h.log.Info().Str("store", next.Store).Msg("settings are in force")
}
