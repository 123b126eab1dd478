//! Reload of the settings on SIGHUP, and of a file that changed without it.

use std::{path::PathBuf, sync::Arc, time::Duration};

use tokio::{signal::unix::Signal, time::sleep};

use super::{settings::EntrySettings, state::EntryState};
use crate::{logging, settings::HostSettings};

/// Interval at which the file is looked at.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Applies changes of the settings file until the process ends.
///
/// Bounds and the log level take effect at once. Identity, addresses and memory are those of the start; a change of them
/// is logged and takes effect at the next start.
pub async fn run(state: Arc<EntryState>, path: PathBuf, mut hangup: Signal) {
    let mut known = std::fs::read_to_string(&path).unwrap_or_default();
    loop {
        let is_asked = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(LOOK_INTERVAL) => false,
        };
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(err) => {
                log::warn!(path:? = path, error:% = err; "read settings again");
                continue;
            }
        };
        if is_asked {
            log::info!(changed = text != known; "reload asked for");
        }
        if text == known {
            continue;
        }
        known = text;
        let parsed = HostSettings::parse_tree(&known).and_then(EntrySettings::from_tree);
        match parsed {
            Ok(settings) => apply(&state, settings),
            Err(problems) => log::warn!(problems:? = problems; "settings not reloaded"),
        }
    }
}

fn apply(state: &EntryState, settings: EntrySettings) {
    let before = state.settings.load_full();
    let is_same = (&settings.listen, &settings.host, settings.memory)
        == (&before.listen, &before.host, before.memory);
    if !is_same {
        log::warn!("identity, addresses and memory change at the next start only");
    }
    logging::set_level(&settings.log);
    state.core.lock().set_bounds(settings.shared_bounds(), state.clock.now());
    state.settings.store(Arc::new(settings));
    log::info!("settings reloaded");
}
