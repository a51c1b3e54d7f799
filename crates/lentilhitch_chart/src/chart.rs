//! Interpreter of state charts.

use std::{fmt::Debug, hash::Hash};

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, de::DeserializeOwned};

use crate::{Defect, Defects};

/// Enum of the states, events or actions that a chart may name.
pub trait ChartEnum: Copy + Eq + Hash + Debug + DeserializeOwned + 'static {
    /// All values of the enum.
    const ALL: &'static [Self];
}

/// Result of an event in a state: the next state and the actions to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition<S, A> {
    pub to: S,
    pub actions: Vec<A>,
}

/// Validated state chart with states `S`, events `E` and actions `A`.
#[derive(Clone, Debug)]
pub struct Chart<S, E, A> {
    initial: S,
    final_states: FxHashSet<S>,
    transitions: FxHashMap<(S, E), Transition<S, A>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    initial: String,
    #[serde(default, rename = "final")]
    final_states: Vec<String>,
    states: std::collections::BTreeMap<String, StateFile>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct StateFile {
    #[serde(default)]
    on: std::collections::BTreeMap<String, TransitionFile>,
    #[serde(default)]
    ignore: Vec<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TransitionFile {
    to: String,
    #[serde(default, rename = "do")]
    actions: Vec<String>,
}

impl<S: ChartEnum, E: ChartEnum, A: ChartEnum> Chart<S, E, A> {
    /// Parses and validates a chart. The error contains all defects that were found. Whether every state is reachable
    /// is checked only if there are no other defects.
    pub fn load(json: &str) -> Result<Self, Defects> {
        let file: ChartFile = serde_json::from_str(json)
            .map_err(|err| Defects(vec![Defect::Unreadable(err.to_string())]))?;
        let mut defects = Vec::new();
        let chart = Self::resolve(&file, &mut defects);
        match chart {
            Some(chart) if defects.is_empty() => {
                let defects = chart.check_reachable();
                if defects.is_empty() { Ok(chart) } else { Err(Defects(defects)) }
            }
            _ => Err(Defects(defects)),
        }
    }

    /// Returns the state in which every new object that follows the chart starts.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns whether the state is final, so that events no longer have an effect.
    pub fn is_final(&self, state: S) -> bool {
        self.final_states.contains(&state)
    }

    /// Returns the transition of an event in a state. An ignored event, and any event in a final state, keeps the state
    /// and has no actions.
    pub fn step(&self, state: S, event: E) -> Transition<S, A> {
        self.transitions
            .get(&(state, event))
            .cloned()
            .unwrap_or(Transition { to: state, actions: Vec::new() })
    }

    fn resolve(file: &ChartFile, defects: &mut Vec<Defect>) -> Option<Self> {
        let initial = resolve_name::<S>("state", &file.initial, defects);
        let final_states: FxHashSet<S> =
            file.final_states.iter().filter_map(|it| resolve_name("state", it, defects)).collect();
        let mut transitions = FxHashMap::default();
        let mut declared = FxHashSet::default();
        for (state_name, state_file) in &file.states {
            let Some(state) = resolve_name::<S>("state", state_name, defects) else { continue };
            declared.insert(state);
            resolve_state(
                state,
                state_file,
                final_states.contains(&state),
                &mut transitions,
                defects,
            );
        }
        for state in S::ALL.iter().filter(|it| !declared.contains(it)) {
            defects.push(Defect::MissingState(format!("{state:?}")));
        }
        Some(Self { initial: initial?, final_states, transitions })
    }

    fn check_reachable(&self) -> Vec<Defect> {
        let mut reachable = FxHashSet::from_iter([self.initial]);
        let mut pending = vec![self.initial];
        while let Some(state) = pending.pop() {
            for event in E::ALL {
                let to = self.step(state, *event).to;
                if reachable.insert(to) {
                    pending.push(to);
                }
            }
        }
        let unreachable = S::ALL.iter().filter(|it| !reachable.contains(it));
        unreachable.map(|it| Defect::Unreachable(format!("{it:?}"))).collect()
    }
}

fn resolve_state<S: ChartEnum, E: ChartEnum, A: ChartEnum>(
    state: S,
    file: &StateFile,
    is_final: bool,
    transitions: &mut FxHashMap<(S, E), Transition<S, A>>,
    defects: &mut Vec<Defect>,
) {
    let ignored: FxHashSet<E> =
        file.ignore.iter().filter_map(|it| resolve_name("event", it, defects)).collect();
    let mut handled = FxHashSet::default();
    for (event_name, transition_file) in &file.on {
        let Some(event) = resolve_name::<E>("event", event_name, defects) else { continue };
        handled.insert(event);
        let actions = transition_file
            .actions
            .iter()
            .filter_map(|it| resolve_name("action", it, defects))
            .collect();
        if let Some(to) = resolve_name("state", &transition_file.to, defects) {
            transitions.insert((state, event), Transition { to, actions });
        }
    }
    if is_final {
        if !handled.is_empty() {
            defects.push(Defect::FinalStateHandlesEvents(format!("{state:?}")));
        }
        return;
    }
    for event in E::ALL {
        let names = || (format!("{state:?}"), format!("{event:?}"));
        match (handled.contains(event), ignored.contains(event)) {
            (false, false) => {
                let (state, event) = names();
                defects.push(Defect::Unhandled { state, event });
            }
            (true, true) => {
                let (state, event) = names();
                defects.push(Defect::Ambiguous { state, event });
            }
            _ => {}
        }
    }
}

fn resolve_name<V: ChartEnum>(
    kind: &'static str,
    text: &str,
    defects: &mut Vec<Defect>,
) -> Option<V> {
    let value = serde_json::from_value(serde_json::Value::String(text.to_owned())).ok();
    if value.is_none() {
        defects.push(Defect::UnknownName { kind, name: text.to_owned() });
    }
    value
}
