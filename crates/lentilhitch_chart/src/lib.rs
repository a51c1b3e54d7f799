//! State charts in JSON files, and the interpreter that runs them.
//!
//! A chart names its states, events and actions. Loading a chart checks it against the Rust enums that it is used with
//! and reports every defect at once: unknown or missing names, states that can't be reached, events that a state neither
//! handles nor ignores, final states that handle something. A loaded chart is therefore total: each step is defined.

mod chart;
pub mod charts;
mod defect;

pub use chart::{Chart, Step, Vocabulary};
pub use defect::{Defect, Defects};
