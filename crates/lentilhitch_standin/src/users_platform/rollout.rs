//! Rollouts as an operator orders them, and what the platform does about their status: starts and stops upstreams.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::task::{AbortHandle, JoinHandle};

use crate::users_platform::{LogStore, Upstream};

/// Topic of the orders, which the operator writes.
const ORDERS_TOPIC: &str = "keyed.op";
/// Topic of the status, which the system writes.
const STATUS_TOPIC: &str = "keyed.status";
/// Time for which the upstreams of a version that was rolled back drain.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// An order to move a service to a version.
#[derive(Clone, Debug)]
pub struct Rollout {
    pub service: String,
    pub to: String,
    pub duration_s: f64,
}

impl Rollout {
    /// Writes the order.
    pub fn order(&self, store: &LogStore) {
        let order = json!({
            "service": self.service, "to": self.to, "durationS": self.duration_s,
            "aFieldOfLater": true,
        });
        store.put(ORDERS_TOPIC, &self.key(), &order);
    }

    /// Removes the order.
    pub fn withdraw(&self, store: &LogStore) {
        store.delete(ORDERS_TOPIC, &self.key());
    }

    /// Returns the states that the system has written, oldest first, without repetitions.
    pub fn states(&self, store: &LogStore) -> Vec<String> {
        let records = store.history(STATUS_TOPIC, &self.key());
        let states = records.iter().filter(|it| it["to"] == self.to.as_str());
        let states = states.filter_map(|it| it["state"].as_str().map(str::to_owned));
        let mut states: Vec<_> = states.collect();
        states.dedup();
        states
    }

    /// Returns the verdict that the system has written, if there is one.
    pub fn verdict(&self, store: &LogStore) -> Option<String> {
        self.states(store).into_iter().find(|it| it != "in_progress")
    }

    fn key(&self) -> String {
        format!("rollout/{}", self.service)
    }
}

/// What the platform does with the upstreams of a rollout.
pub struct RolloutWatch {
    verdict_at: Arc<Mutex<Option<Instant>>>,
    task: JoinHandle<()>,
}

impl RolloutWatch {
    /// Follows the status of a rollout: stops the old upstreams at `completed` at once, and drains the new ones at
    /// `rolled_back`.
    pub fn start(store: &LogStore, rollout: &Rollout, old: &[Upstream], new: &[Upstream]) -> Self {
        let verdict_at = Arc::new(Mutex::new(None));
        let (store, rollout, decided) = (store.clone(), rollout.clone(), verdict_at.clone());
        let old: Vec<_> = old.iter().map(|it| (it.id.clone(), it.end_handle())).collect();
        let new: Vec<_> =
            new.iter().map(|it| (it.id.clone(), it.end_handle(), it.draining_entry())).collect();
        let task = tokio::spawn(async move {
            let mut n_seen = 0;
            let verdict = loop {
                store.written_since(STATUS_TOPIC, n_seen).await;
                n_seen = store.n_records(STATUS_TOPIC);
                if let Some(it) = rollout.verdict(&store) {
                    break it;
                }
            };
            *decided.lock() = Some(Instant::now());
            if verdict == "completed" {
                end_all(&store, old.into_iter());
                return;
            }
            for (id, _, entry) in &new {
                store.put("keyed.servers", id, entry);
            }
            tokio::time::sleep(DRAIN_TIME).await;
            end_all(&store, new.into_iter().map(|it| (it.0, it.1)));
        });
        Self { verdict_at, task }
    }

    /// Returns when the platform has seen a verdict.
    pub fn verdict_at(&self) -> Option<Instant> {
        *self.verdict_at.lock()
    }
}

impl Drop for RolloutWatch {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Closes the ports and connections of upstreams, and removes them from the list.
fn end_all(store: &LogStore, upstreams: impl Iterator<Item = (String, AbortHandle)>) {
    for (id, handle) in upstreams {
        handle.abort();
        store.delete("keyed.servers", &id);
    }
}

impl Upstream {
    fn draining_entry(&self) -> Value {
        self.entry(&json!({ "state": "draining", "seq": 2 }))
    }
}
