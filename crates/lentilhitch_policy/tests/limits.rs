//! Shares add up to the rate if all processes know the same reports, and a bucket admits no more than its limit.

use lentilhitch_policy::limits::{TeamLimit, TokenBucket, demand_share, fixed_share};
use proptest::prelude::{prop_assert, proptest};

proptest! {
    #[test]
    fn shares_add_up_to_the_rate(demands in proptest::collection::vec(0.0..500.0_f64, 1..12), rate in 0.1..1000.0_f64) {
        let shares: Vec<_> = (0..demands.len()).map(|it| demand_share(rate, &demands, it)).collect();
        let total: f64 = shares.iter().sum();
        prop_assert!((total - rate).abs() < 1e-6 * rate, "{total} of {rate}");
        let floor = fixed_share(rate, demands.len()) / 2.0;
        prop_assert!(shares.iter().all(|it| floor * 0.999 <= *it));
    }

    /// Whichever reports each process has missed, the sum exceeds the rate by no more than the documented bound.
    #[test]
    fn shares_from_different_reports_stay_within_the_bound(
        sent in proptest::collection::vec(0.0..500.0_f64, 2..8),
        missed in proptest::collection::vec((0..8_usize, 0..8_usize, 0.0..500.0_f64), 0..20),
        rate in 0.1..1000.0_f64,
    ) {
        let n_processes = sent.len();
        let mut known = vec![sent; n_processes];
        for (receiver, sender, older) in missed {
            let (receiver, sender) = (receiver % n_processes, sender % n_processes);
            // A process never misses its local report.
            if receiver != sender {
                known[receiver][sender] = older;
            }
        }
        let total: f64 = known.iter().enumerate().map(|(local, it)| demand_share(rate, it, local)).sum();
        let bound = rate + rate / 2.0 * (n_processes - 1) as f64;
        prop_assert!(total <= bound * (1.0 + 1e-9), "{total} of {bound}");
    }

    #[test]
    fn a_bucket_admits_at_most_rate_and_burst(rate in 0.5..50.0_f64, burst in 1.0..20.0_f64, intervals_ms in proptest::collection::vec(0..400_u64, 1..200)) {
        let limit = TeamLimit { rate_per_s: rate, burst };
        let mut bucket = TokenBucket::new(limit, 0);
        let mut admitted_ms = Vec::new();
        let mut now_ms = 0;
        for interval_ms in intervals_ms {
            now_ms += interval_ms;
            match bucket.try_admit(now_ms) {
                Ok(()) => admitted_ms.push(now_ms),
                Err(wait_ms) => prop_assert!(bucket.clone().try_admit(now_ms + wait_ms).is_ok(), "rejected after the returned wait of {wait_ms} ms"),
            }
        }
        // Checks the limit for every interval between two admissions.
        for (idx, from_ms) in admitted_ms.iter().enumerate() {
            for (n, to_ms) in admitted_ms[idx..].iter().enumerate() {
                let allowed = burst + rate * (to_ms - from_ms) as f64 / 1000.0;
                prop_assert!((n + 1) as f64 <= allowed + 1e-6);
            }
        }
    }
}
