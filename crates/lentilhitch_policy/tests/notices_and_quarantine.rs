//! Checks that sets of notices and of evidence do not depend on the order in which they were filled, and that two crashes
//! quarantine the request that caused them and no other request.

use lentilhitch_policy::{
    notice::{Notice, Notices},
    quarantine::{Evidence, Quarantine, Trial, TrialStep, UpstreamIncarnation, Verdict},
};
use lentilhitch_types::{Fingerprint, Incarnation, UpstreamName};
use proptest::prelude::{Strategy, prop_assert, prop_assert_eq, proptest};

fn upstream(idx: u8) -> UpstreamName {
    format!("engine-{idx}").parse().unwrap()
}

fn upstream_incarnation() -> impl Strategy<Value = UpstreamIncarnation> {
    (0..3_u8, 1..4_u64).prop_map(|(idx, incarnation)| (upstream(idx), Incarnation(incarnation)))
}

proptest! {
    #[test]
    fn notices_do_not_depend_on_order(leaving in proptest::collection::vec(upstream_incarnation(), 0..20), queried in upstream_incarnation()) {
        let notices: Vec<_> = leaving.iter().map(|(upstream, incarnation)| Notice { upstream: upstream.clone(), incarnation: *incarnation }).collect();
        let (mut forward, mut backward) = (Notices::default(), Notices::default());
        for notice in &notices {
            forward.insert(notice);
            prop_assert!(forward.is_leaving(&notice.upstream, notice.incarnation), "the notice was withdrawn");
        }
        for notice in notices.iter().rev() {
            backward.insert(notice);
        }
        prop_assert_eq!(&forward, &backward);
        let naive = leaving.iter().any(|(upstream, incarnation)| *upstream == queried.0 && queried.1 <= *incarnation);
        prop_assert_eq!(forward.is_leaving(&queried.0, queried.1), naive);
    }

    #[test]
    fn evidence_does_not_depend_on_order(crashes in proptest::collection::vec((0..4_u128, upstream_incarnation()), 0..20)) {
        let evidence: Vec<_> = crashes.iter().map(|(fingerprint, crashed)| Evidence { fingerprint: Fingerprint(*fingerprint), crashed: crashed.clone() }).collect();
        let (mut forward, mut backward) = (Quarantine::default(), Quarantine::default());
        for item in &evidence {
            forward.insert(item);
        }
        for item in evidence.iter().rev() {
            backward.insert(item);
        }
        for fingerprint in (0..4).map(Fingerprint) {
            prop_assert_eq!(forward.verdict(fingerprint), backward.verdict(fingerprint));
        }
    }

    /// A request that crashes upstreams runs among others at two processes until it is rejected. Two
    /// incarnations of an upstream crash, and none of the other requests is quarantined.
    #[test]
    fn two_crashes_quarantine_only_the_request_that_caused_them(other_requests in proptest::collection::vec((1..20_u128, 0..2_usize), 0..8)) {
        let crashing = Fingerprint(0);
        let mut processes = [Quarantine::default(), Quarantine::default()];
        let mut n_crashes = 0;
        while processes[0].verdict(crashing) != Verdict::Quarantined {
            n_crashes += 1;
            prop_assert!(n_crashes <= 2);
            let crashed = (upstream(0), Incarnation(n_crashes));
            if processes[0].verdict(crashing) == Verdict::Suspect {
                let trial = Trial { fingerprint: crashing, upstream: crashed.clone(), step: TrialStep::Started };
                for process in &mut processes {
                    process.apply_trial(&trial);
                }
            }
            for idx in 0..2 {
                // The other requests of the first crash have passed their trials elsewhere and run here again.
                let running = other_requests.iter().filter(|it| it.1 == idx).map(|it| Fingerprint(it.0));
                let mut running: Vec<_> = running.collect();
                running.extend((idx == 0).then_some(crashing));
                for item in processes[idx].attribute_crash(&crashed, &running) {
                    for process in &mut processes {
                        process.insert(&item);
                    }
                }
            }
            for other in other_requests.iter().map(|it| Fingerprint(it.0)) {
                let healthy = (upstream(1), Incarnation(1));
                for process in &mut processes {
                    process.apply_trial(&Trial { fingerprint: other, upstream: healthy.clone(), step: TrialStep::Passed });
                }
            }
        }
        for process in &processes {
            prop_assert_eq!(process.verdict(crashing), Verdict::Quarantined);
            for other in other_requests.iter().map(|it| Fingerprint(it.0)) {
                prop_assert_eq!(process.verdict(other), Verdict::Clear);
            }
        }
    }

    #[test]
    fn one_trial_is_granted_at_a_time(steps in proptest::collection::vec((0..4_u128, proptest::bool::ANY), 0..30)) {
        let mut quarantine = Quarantine::default();
        let target = (upstream(0), Incarnation(1));
        let mut on_trial = None;
        for (request, is_start) in steps {
            let trial = |step| Trial { fingerprint: Fingerprint(request), upstream: target.clone(), step };
            if is_start {
                let is_granted = quarantine.grant_trial(&trial(TrialStep::Started));
                prop_assert_eq!(is_granted, on_trial.is_none() || on_trial == Some(request));
                on_trial = on_trial.or(Some(request));
            } else {
                quarantine.apply_trial(&trial(TrialStep::Passed));
                on_trial = on_trial.filter(|held| *held != request);
            }
        }
    }

    #[test]
    fn aborted_trials_are_removed(fingerprints in proptest::collection::vec(0..4_u128, 0..10)) {
        let mut quarantine = Quarantine::default();
        let target = (upstream(0), Incarnation(1));
        let trial = |it: u128, step| Trial { fingerprint: Fingerprint(it), upstream: target.clone(), step };
        for it in &fingerprints {
            quarantine.apply_trial(&trial(*it, TrialStep::Started));
            prop_assert!(quarantine.has_trial(&target));
        }
        for it in &fingerprints {
            quarantine.apply_trial(&trial(*it, TrialStep::Aborted));
        }
        prop_assert!(!quarantine.has_trial(&target));
        prop_assert_eq!(quarantine.attribute_crash(&target, &[Fingerprint(9)]).len(), 1);
    }
}
