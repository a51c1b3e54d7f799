//! Short soak tests with fixed seeds. A seed that has failed once stays here, with the cause of the failure.

use std::time::Duration;

use lentilhitch_standin::soak::{Settings, run};

/// Seeds, each with the reason for which it is here.
const SEEDS: [(u64, &str); 4] =
    [(1, "a first seed"), (2, "a second seed"), (3, "a third seed"), (4, "a fourth seed")];

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_faults() {
    for (seed, reason) in SEEDS {
        let settings = Settings { seed, duration: Duration::from_secs(6), ..Settings::default() };
        let (n_served, n_sent) =
            run(settings).await.unwrap_or_else(|it| panic!("{seed} ({reason}): {it:?}"));
        assert!(n_sent / 10 < n_served, "{seed} ({reason}): {n_served} of {n_sent} served");
    }
}
