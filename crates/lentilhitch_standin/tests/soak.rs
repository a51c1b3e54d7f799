//! Short soaks with fixed seeds. Seeds that ever failed stay here, each with its cause.

use std::time::Duration;

use lentilhitch_standin::soak::{Settings, run};

/// Seeds and what they once showed.
const SEEDS: [(u64, &str); 3] = [(1, "a first seed"), (2, "a second seed"), (3, "a third seed")];

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_faults() {
    for (seed, why) in SEEDS {
        let settings = Settings { seed, duration: Duration::from_secs(6), ..Settings::default() };
        let (n_served, n_sent) =
            run(settings).await.unwrap_or_else(|it| panic!("{seed} ({why}): {it:?}"));
        assert!(n_sent / 10 < n_served, "{seed} ({why}): {n_served} of {n_sent} served");
    }
}
