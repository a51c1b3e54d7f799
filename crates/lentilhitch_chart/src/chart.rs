//! The interpreter.

use std::{fmt::Debug, hash::Hash};

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, de::DeserializeOwned};

use crate::{Defect, Defects};

/// An enum whose values a chart may name.
pub trait Vocabulary: Copy + Eq + Hash + Debug + DeserializeOwned + 'static {
    /// Every value.
    const ALL: &'static [Self];
}

/// The result of one event in one state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step<S, A> {
    pub to: S,
    pub actions: Vec<A>,
}

/// A checked chart over states `S`, events `E` and actions `A`.
#[derive(Clone, Debug)]
pub struct Chart<S, E, A> {
    initial: S,
    finals: FxHashSet<S>,
    steps: FxHashMap<(S, E), Step<S, A>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    initial: String,
    #[serde(default, rename = "final")]
    finals: Vec<String>,
    states: std::collections::BTreeMap<String, StateFile>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct StateFile {
    #[serde(default)]
    on: std::collections::BTreeMap<String, StepFile>,
    #[serde(default)]
    ignore: Vec<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StepFile {
    to: String,
    #[serde(default, rename = "do")]
    actions: Vec<String>,
}

impl<S: Vocabulary, E: Vocabulary, A: Vocabulary> Chart<S, E, A> {
    /// Reads and checks a chart; reports all defects together.
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

    /// The state that a new subject of the chart is in.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Whether nothing happens any more in this state.
    pub fn is_final(&self, state: S) -> bool {
        self.finals.contains(&state)
    }

    /// What an event does in a state. An ignored event, and any event in a final state, stays where it is.
    pub fn step(&self, state: S, event: E) -> Step<S, A> {
        self.steps.get(&(state, event)).cloned().unwrap_or(Step { to: state, actions: Vec::new() })
    }

    fn resolve(file: &ChartFile, defects: &mut Vec<Defect>) -> Option<Self> {
        let initial = name::<S>("state", &file.initial, defects);
        let finals: FxHashSet<S> =
            file.finals.iter().filter_map(|it| name("state", it, defects)).collect();
        let mut steps = FxHashMap::default();
        let mut seen = FxHashSet::default();
        for (state_name, state_file) in &file.states {
            let Some(state) = name::<S>("state", state_name, defects) else { continue };
            seen.insert(state);
            resolve_state(state, state_file, finals.contains(&state), &mut steps, defects);
        }
        for state in S::ALL.iter().filter(|it| !seen.contains(it)) {
            defects.push(Defect::MissingState(format!("{state:?}")));
        }
        Some(Self { initial: initial?, finals, steps })
    }

    fn check_reachable(&self) -> Vec<Defect> {
        let mut reached = FxHashSet::from_iter([self.initial]);
        let mut open = vec![self.initial];
        while let Some(state) = open.pop() {
            for event in E::ALL {
                let to = self.step(state, *event).to;
                if reached.insert(to) {
                    open.push(to);
                }
            }
        }
        let unreached = S::ALL.iter().filter(|it| !reached.contains(it));
        unreached.map(|it| Defect::Unreachable(format!("{it:?}"))).collect()
    }
}

fn resolve_state<S: Vocabulary, E: Vocabulary, A: Vocabulary>(
    state: S,
    file: &StateFile,
    is_final: bool,
    steps: &mut FxHashMap<(S, E), Step<S, A>>,
    defects: &mut Vec<Defect>,
) {
    let ignored: FxHashSet<E> =
        file.ignore.iter().filter_map(|it| name("event", it, defects)).collect();
    let mut handled = FxHashSet::default();
    for (event_name, step_file) in &file.on {
        let Some(event) = name::<E>("event", event_name, defects) else { continue };
        handled.insert(event);
        let actions =
            step_file.actions.iter().filter_map(|it| name("action", it, defects)).collect();
        if let Some(to) = name("state", &step_file.to, defects) {
            steps.insert((state, event), Step { to, actions });
        }
    }
    if is_final {
        if !handled.is_empty() {
            defects.push(Defect::FinalHandles(format!("{state:?}")));
        }
        return;
    }
    for event in E::ALL {
        let place = || (format!("{state:?}"), format!("{event:?}"));
        match (handled.contains(event), ignored.contains(event)) {
            (false, false) => {
                let (state, event) = place();
                defects.push(Defect::Unhandled { state, event });
            }
            (true, true) => {
                let (state, event) = place();
                defects.push(Defect::Ambiguous { state, event });
            }
            _ => {}
        }
    }
}

fn name<V: Vocabulary>(kind: &'static str, text: &str, defects: &mut Vec<Defect>) -> Option<V> {
    let value = serde_json::from_value(serde_json::Value::String(text.to_owned())).ok();
    if value.is_none() {
        defects.push(Defect::UnknownName { kind, name: text.to_owned() });
    }
    value
}
