//! Defects of chart files.

use std::fmt;

/// One defect of a chart file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Defect {
    #[error("invalid chart file: {0}")]
    Unreadable(String),
    #[error("unknown {kind} {name:?}")]
    UnknownName { kind: &'static str, name: String },
    #[error("state {0} is missing")]
    MissingState(String),
    #[error("state {0} is unreachable")]
    Unreachable(String),
    #[error("state {state} neither handles nor ignores {event}")]
    Unhandled { state: String, event: String },
    #[error("state {state} both handles and ignores {event}")]
    Ambiguous { state: String, event: String },
    #[error("final state {0} handles events")]
    FinalStateHandlesEvents(String),
}

/// All defects of one chart file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Defects(pub Vec<Defect>);

impl fmt::Display for Defects {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (idx, defect) in self.0.iter().enumerate() {
            let separator = if idx == 0 { "" } else { "; " };
            write!(f, "{separator}{defect}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Defects {}
