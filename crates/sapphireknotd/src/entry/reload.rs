//! Reloads the settings on SIGHUP, or when the file has changed.

use std::{sync::Arc, time::Duration};

use tokio::{signal::unix::Signal, time::sleep};

use super::{settings::EntrySettings, state::EntryState};
use crate::{logging, settings_file::SettingsFile};

/// Interval at which the file is checked for changes.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Applies changes of the settings `file` since it was last read, until the process ends.
///
/// Bounds and the log level take effect at once. Identity, addresses and memory are fixed at startup; a change to them
/// is logged and takes effect at the next start.
pub async fn run(state: Arc<EntryState>, mut file: SettingsFile, mut hangup: Signal) {
    loop {
        let is_signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(POLL_INTERVAL) => false,
        };
        let text = match file.read_text() {
            Ok(text) => text,
            Err(err) => {
                log::warn!(path:? = file.path(), error:% = err; "reload settings");
                continue;
            }
        };
        if is_signalled {
            log::info!(changed = text != file.text(); "reload requested");
        }
        if text == file.text() {
            continue;
        }
        file.set_text(text);
        match file.tree().and_then(EntrySettings::from_tree) {
            Ok(settings) => apply(&state, settings),
            Err(problems) => log::warn!(problems:? = problems; "settings not reloaded"),
        }
    }
}

fn apply(state: &EntryState, settings: EntrySettings) {
    let before = state.settings.load_full();
    let is_unchanged = (&settings.listen, &settings.host, settings.memory)
        == (&before.listen, &before.host, before.memory);
    if !is_unchanged {
        log::warn!("changes of identity, addresses and memory take effect at the next start");
    }
    logging::set_level(&settings.log);
    state.core.lock().set_bounds(settings.shared_bounds(), state.clock.now());
    state.settings.store(Arc::new(settings));
    log::info!("settings reloaded");
}
