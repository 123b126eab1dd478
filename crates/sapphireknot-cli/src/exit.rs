//! Exit codes of the command line.

use std::process::ExitCode;

/// Exit status of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// 0: the command is done, or the change is accepted or in force.
    Success,
    /// 1: a file has problems or the change was refused.
    Refused,
    /// 2: the arguments or a file could not be read.
    Usage,
    /// 3: the host could not be reached or responded with an error, or the result could not be written.
    Unreachable,
    /// 4: the outcome is not known yet, or the change is not in force on every host yet.
    Pending,
    /// 5: an item of the release note was reverted.
    Reverted,
}

impl ExitStatus {
    /// Returns the numeric exit code.
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
