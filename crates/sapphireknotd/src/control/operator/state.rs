//! State of the operator API.

use std::sync::Arc;

use ractor::ActorRef;

use crate::control::{messages::ConfigMessage, notes::NoteWriter, shared::ControlShared};

/// State used by the handlers of the operator API.
pub(super) struct OperatorState {
    /// State shared by the control modules.
    pub(super) shared: Arc<ControlShared>,
    /// Writer of configuration changes.
    pub(super) writer: NoteWriter,
    /// Configuration actor, which installs accepted changes.
    pub(super) config: ActorRef<ConfigMessage>,
}
