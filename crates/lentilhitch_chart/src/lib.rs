//! State charts in JSON files, and the interpreter that runs them.
//!
//! A state chart defines the states of an object, the events that each state handles, and the next state and the
//! actions that result from each event. A chart names its states, events and actions. Loading a chart checks it against
//! the Rust enums that it is used with and reports the defects together: unknown or missing names, unreachable states,
//! events that a state neither handles nor ignores or both handles and ignores, and final states that handle events. A
//! loaded chart is therefore total: every event has a defined result in every state.

mod chart;
pub mod charts;
mod defect;

pub use chart::{Chart, ChartEnum, Transition};
pub use defect::{Defect, Defects};
