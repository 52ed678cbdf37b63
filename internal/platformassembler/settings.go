package platformassembler

import (
	"context"
	"errors"
	"os"
	"reflect"
	"time"

	"github.com/fuchsiapitch/fuchsiapitch/internal/coordinator"
	"github.com/fuchsiapitch/fuchsiapitch/platform"
)

// settingsPollInterval is the time between two checks of the settings file, which
// may change without a reload signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings file at each reload signal, and within
// settingsPollInterval of a change.
func (h *Host) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := h.settingsModTime()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.reloadSignals:
			h.log.Info().Msg("reloading settings on a signal")
		case <-ticker.C:
			if h.settingsModTime().Equal(lastModTime) {
				continue
			}
		}
		lastModTime = h.settingsModTime()
		h.reloadSettings()
	}
}

// settingsModTime returns the modification time of the settings file, the zero time
// if it is unknown.
func (h *Host) settingsModTime() time.Time {
	info, err := os.Stat(h.settingsPath)
	if err != nil {
		if !errors.Is(err, os.ErrNotExist) {
			h.log.Warn().Err(err).Msg("failed to read the modification time of the settings file")
		}
		return time.Time{}
	}
	return info.ModTime()
}

// reloadSettings reads and applies the settings file. If it is invalid, the previous
// settings stay in force. Changed listen addresses take effect at the next start
// only.
func (h *Host) reloadSettings() {
	newSettings, err := platform.ReadSettings(h.settingsPath)
	if err != nil {
		h.log.Error().Err(err).Msg("ignoring invalid settings")
		return
	}
	oldSettings := *h.settings.Load()
	if reflect.DeepEqual(oldSettings, newSettings) {
		return
	}
	if newSettings.ClientListenAddress != oldSettings.ClientListenAddress || newSettings.ReadinessListenAddress != oldSettings.ReadinessListenAddress || newSettings.IP != oldSettings.IP {
		h.log.Warn().Msg("changed listen addresses take effect at the next start")
	}
	h.settings.Store(&newSettings)
	h.storeClient.SetAddress(newSettings.StoreAddress)
	h.driver.Apply(coordinator.LimitsChanged{
		StallTimeout: newSettings.StallTimeout, RetryRatio: newSettings.RetryRatio, RetrySlack: newSettings.RetrySlack, RetryWindow: newSettings.RetryWindow,
		ColdOver: newSettings.ColdOver, ColdSlack: newSettings.ColdSlack, Regions: newSettings.Regions,
	})
	h.log.Info().Str("store", newSettings.StoreAddress).Msg("settings reloaded")
}
