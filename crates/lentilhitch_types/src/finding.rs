//! Problems found in what operators wrote, each with its place.

use std::fmt;

use serde::Serialize;

/// Where in a file a problem stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct SourcePosition {
    pub file: String,
    /// JSON pointer (RFC 6901) of the value; empty for the whole file.
    pub pointer: String,
    /// One-based line, when it is known.
    pub line: Option<usize>,
    /// One-based column, when it is known.
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

/// One problem and its place.
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

/// All problems found in one go, reported together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Adds a problem.
    pub fn push(&mut self, position: SourcePosition, message: impl Into<String>) {
        self.0.push(Finding { position, message: message.into() });
    }

    /// Whether nothing was found.
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
