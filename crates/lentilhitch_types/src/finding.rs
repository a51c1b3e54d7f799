//! Problems found in files that operators write, each with its position.

use std::fmt;

use serde::Serialize;

/// Position of a value in a file.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct SourcePosition {
    pub file: String,
    /// JSON pointer (RFC 6901) of the value; empty for the entire file.
    pub pointer: String,
    /// One-based line, if known.
    pub line: Option<usize>,
    /// One-based column, if known.
    pub column: Option<usize>,
}

impl fmt::Display for SourcePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if let Some(column) = self.column {
            write!(f, ":{column}")?;
        }
        if !self.pointer.is_empty() {
            write!(f, " ({})", self.pointer)?;
        }
        Ok(())
    }
}

/// A problem and its position.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    #[serde(rename = "place")]
    pub position: SourcePosition,
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.position, self.message)
    }
}

/// All problems found in one pass, reported together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a problem.
    pub fn push(&mut self, position: SourcePosition, message: impl Into<String>) {
        self.0.push(Finding { position, message: message.into() });
    }

    /// Returns whether no problem was found.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.0 {
            writeln!(f, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
