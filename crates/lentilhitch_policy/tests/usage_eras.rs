//! Decisions on usage windows while the store returns from copies and the lease changes hands: no window is reported with
//! two counts, and none is left out without need.

use std::collections::BTreeMap;

use lentilhitch_policy::usage::{
    Counts, Decision, DecisionRecord, NodeCounts, Settings, Tenure, UsageLedger,
};
use lentilhitch_types::StoreEra;
use proptest::{prelude::*, test_runner::RngSeed};

const WINDOW_MS: u64 = 5_000;
const STEP_MS: u64 = 500;
const N_NODES: usize = 3;
/// Time at which the deployment starts.
const START_MS: u64 = 100 * WINDOW_MS;

fn settings() -> Settings {
    Settings { window_ms: WINDOW_MS, ..Settings::default() }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The holder's process ends, and another node takes the lease over.
    TakeOver { successor: usize },
    /// A process starts again and knows nothing any more.
    Restart { node: usize },
    /// The store returns from a copy.
    Restore { copy_age_steps: usize },
    /// Nothing happens for some steps.
    Wait { n_steps: usize },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..N_NODES).prop_map(|successor| Event::TakeOver { successor }),
        (0..N_NODES).prop_map(|node| Event::Restart { node }),
        (1_usize..16).prop_map(|copy_age_steps| Event::Restore { copy_age_steps }),
        (1_usize..30).prop_map(|n_steps| Event::Wait { n_steps }),
    ]
}

/// A deployment whose nodes have counted differently, so that two decisions on a window never agree by chance.
struct Deployment {
    now_ms: u64,
    era: StoreEra,
    /// Decisions in the store, and how many there were at each earlier step.
    decisions: Vec<DecisionRecord>,
    lengths: Vec<usize>,
    ledgers: Vec<UsageLedger>,
    holder: usize,
    held_since_ms: u64,
    reports: BTreeMap<u64, Vec<Counts>>,
}

impl Deployment {
    fn new() -> Self {
        let mut ledgers: Vec<_> = (0..N_NODES).map(|_| UsageLedger::new(settings())).collect();
        for it in &mut ledgers {
            it.on_era(StoreEra::default(), 0);
        }
        Self {
            now_ms: START_MS,
            era: StoreEra::default(),
            decisions: Vec::new(),
            lengths: vec![0],
            ledgers,
            holder: 0,
            held_since_ms: START_MS,
            reports: BTreeMap::new(),
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::TakeOver { successor } => {
                self.ledgers[self.holder] = UsageLedger::new(settings());
                self.holder = successor;
                self.held_since_ms = self.now_ms;
            }
            Event::Restart { node } => {
                self.ledgers[node] = UsageLedger::new(settings());
                if node == self.holder {
                    self.held_since_ms = self.now_ms;
                }
            }
            Event::Restore { copy_age_steps } => {
                let copy = self.lengths.len().saturating_sub(copy_age_steps + 1);
                self.decisions.truncate(self.lengths[copy]);
                self.lengths.truncate(copy + 1);
                self.era = StoreEra(self.era.0 + 1);
            }
            Event::Wait { n_steps } => (0..n_steps).for_each(|_| self.step()),
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        for it in &mut self.ledgers {
            it.on_era(self.era, self.now_ms);
        }
        let counts = Counts::from([("etna".parse().unwrap(), self.holder as u64 + self.now_ms)]);
        let windows = (0..self.now_ms / WINDOW_MS).rev().take(4).map(|it| (it, counts.clone()));
        let ledger = &mut self.ledgers[self.holder];
        ledger.insert_counts(NodeCounts {
            node: Some("a".parse().unwrap()),
            incarnation: 1,
            through_ms: self.now_ms,
            windows: windows.collect(),
        });
        for it in &self.decisions {
            ledger.insert_record(it.clone());
        }
        let tenure = Tenure { held_since_ms: self.held_since_ms, era: Some(self.era) };
        ledger.give_up_windows(tenure, self.now_ms);
        while let Some(decision) = ledger.next_decision(1, self.now_ms) {
            let written = Some((self.era, self.now_ms));
            self.decisions.push(DecisionRecord::new(decision.clone(), written));
            ledger.insert_decision(decision);
        }
        while let Some(Decision { window, counts }) = ledger.next_report(self.now_ms) {
            ledger.mark_reported(window);
            self.reports.entry(window).or_default().push(counts);
        }
        self.lengths.push(self.decisions.len());
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(4), ..ProptestConfig::default() })]

    /// Guards against a window that is reported again with other counts, because the store has lost the decision on it and
    /// its holder is gone.
    #[test]
    fn no_window_is_reported_with_two_counts(events in prop::collection::vec(event(), 1..40)) {
        let mut deployment = Deployment::new();
        for it in &events {
            deployment.apply(*it);
            deployment.step();
        }
        for (window, reports) in &deployment.reports {
            prop_assert!(reports.iter().all(|it| *it == reports[0]), "window {}: {:?}", window, reports);
        }
    }

    /// Guards against windows that are left out although the store has lost nothing.
    #[test]
    fn no_window_is_left_out_while_the_store_loses_nothing(
        successors in prop::collection::vec((0..N_NODES, 1_usize..30), 1..20),
    ) {
        let mut deployment = Deployment::new();
        // A decision is in the store before the first change.
        deployment.apply(Event::Wait { n_steps: 12 });
        for (successor, n_steps) in successors {
            deployment.apply(Event::TakeOver { successor });
            deployment.apply(Event::Wait { n_steps });
        }
        let first = START_MS / WINDOW_MS;
        let last = (deployment.now_ms - WINDOW_MS) / WINDOW_MS;
        for window in first..last {
            prop_assert!(deployment.reports.contains_key(&window), "window {}", window);
        }
    }
}
