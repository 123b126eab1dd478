//! Exit codes.

use std::process::ExitCode;

/// How the process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// 0: done, accepted, or in force.
    Success,
    /// 1: a file has problems or the change was refused.
    Refused,
    /// 2: the arguments or a file could not be read.
    Usage,
    /// 3: the host could not be reached or answered with an error.
    Unreachable,
    /// 4: not known yet, or not in force everywhere yet.
    Pending,
    /// 5: an item of the release note was reverted.
    Reverted,
}

impl ExitStatus {
    /// The number that the shell sees.
    pub fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Unreachable => 3,
            Self::Pending => 4,
            Self::Reverted => 5,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.code())
    }
}
