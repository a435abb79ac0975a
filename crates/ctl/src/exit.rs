//! Exit codes.

use std::process::ExitCode;

use strum::{Display, EnumIter};

/// How a command ended; the number is the exit code of the process.
///
/// ```
/// use ggs_ctl::ExitKind;
///
/// assert_eq!(ExitKind::Conflict.code(), 4);
/// assert_eq!(ExitKind::Conflict.to_string(), "conflict");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum ExitKind {
    /// The command did what was asked.
    Done = 0,
    /// A file could not be read or written.
    FileFailed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The document has faults; nothing was written.
    Faults = 3,
    /// Another edit won; nothing was written.
    Conflict = 4,
    /// The edit is accepted, and some live gate did not have it in force within the wait.
    NotInForce = 5,
    /// No gate could be reached; nothing was written.
    NoGate = 6,
    /// The platform is down and the edit was refused; nothing was written.
    PlatformDown = 7,
    /// No answer says whether the edit was written; the same edit can be sent again.
    Unknown = 8,
    /// The service has no document.
    NoDocument = 9,
    /// `diff` found a difference.
    Differs = 10,
    /// A gate refused for another reason, or its answer was not understood; nothing was written.
    Refused = 11,
}

impl ExitKind {
    /// The exit code.
    pub const fn code(self) -> u8 {
        self as u8
    }

    /// What the code means, as the manual says it.
    pub const fn meaning(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::FileFailed => "a file could not be read or written",
            Self::Usage => "the command line is wrong",
            Self::Faults => "the document has faults; nothing was written",
            Self::Conflict => "another edit won; nothing was written",
            Self::NotInForce => "accepted, and not yet in force on every live gate",
            Self::NoGate => "no gate could be reached; nothing was written",
            Self::PlatformDown => "the platform is down; nothing was written",
            Self::Unknown => "the edit may have been written; it can be sent again",
            Self::NoDocument => "the service has no document",
            Self::Differs => "diff found a difference",
            Self::Refused => "a gate refused or was not understood; nothing was written",
        }
    }
}

impl From<ExitKind> for ExitCode {
    fn from(kind: ExitKind) -> Self {
        Self::from(kind.code())
    }
}
