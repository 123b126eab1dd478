//! What operators' calls work on.

use std::sync::Arc;

use ractor::ActorRef;

use crate::control::{messages::ConfigMessage, notes::NoteWriter, shared::ControlShared};

/// State behind operators' calls.
pub(super) struct OperatorState {
    /// Shared state of the control modules.
    pub(super) shared: Arc<ControlShared>,
    /// Writer of changes.
    pub(super) writer: NoteWriter,
    /// Configuration actor.
    pub(super) config: ActorRef<ConfigMessage>,
}
