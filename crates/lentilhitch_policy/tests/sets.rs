//! Notices and evidence agree in any order; quarantine stops a request after two crashes and spares the others.

use lentilhitch_policy::{
    notice::{Notice, Notices},
    quarantine::{Evidence, Quarantine, Trial, TrialStep, UpstreamIncarnation, Verdict},
};
use lentilhitch_types::{Fingerprint, Incarnation, UpstreamName};
use proptest::prelude::{Strategy, prop_assert, prop_assert_eq, proptest};

fn upstream(idx: u8) -> UpstreamName {
    format!("engine-{idx}").parse().unwrap()
}

fn life() -> impl Strategy<Value = UpstreamIncarnation> {
    (0..3_u8, 1..4_u64).prop_map(|(idx, incarnation)| (upstream(idx), Incarnation(incarnation)))
}

proptest! {
    #[test]
    fn notices_do_not_depend_on_order(lives in proptest::collection::vec(life(), 0..20), ask in life()) {
        let notices: Vec<_> = lives.iter().map(|(upstream, incarnation)| Notice { upstream: upstream.clone(), incarnation: *incarnation }).collect();
        let (mut forward, mut backward) = (Notices::default(), Notices::default());
        for notice in &notices {
            forward.insert(notice);
            prop_assert!(forward.is_leaving(&notice.upstream, notice.incarnation), "taken back");
        }
        for notice in notices.iter().rev() {
            backward.insert(notice);
        }
        prop_assert_eq!(&forward, &backward);
        let naive = lives.iter().any(|(upstream, incarnation)| *upstream == ask.0 && ask.1 <= *incarnation);
        prop_assert_eq!(forward.is_leaving(&ask.0, ask.1), naive);
    }

    #[test]
    fn evidence_does_not_depend_on_order(pieces in proptest::collection::vec((0..4_u128, life()), 0..20)) {
        let evidence: Vec<_> = pieces.iter().map(|(fingerprint, crashed)| Evidence { fingerprint: Fingerprint(*fingerprint), crashed: crashed.clone() }).collect();
        let (mut forward, mut backward) = (Quarantine::default(), Quarantine::default());
        for piece in &evidence {
            forward.insert(piece);
        }
        for piece in evidence.iter().rev() {
            backward.insert(piece);
        }
        for fingerprint in (0..4).map(Fingerprint) {
            prop_assert_eq!(forward.verdict(fingerprint), backward.verdict(fingerprint));
        }
    }

    /// One bad request among others at two processes, sent until it is refused: two upstreams crash, nobody else is stopped.
    #[test]
    fn two_crashes_and_only_the_culprit_is_stopped(bystanders in proptest::collection::vec((1..20_u128, 0..2_usize), 0..8)) {
        let bad = Fingerprint(0);
        let mut processes = [Quarantine::default(), Quarantine::default()];
        let mut n_crashes = 0;
        while processes[0].verdict(bad) != Verdict::Quarantined {
            n_crashes += 1;
            prop_assert!(n_crashes <= 2);
            let place = (upstream(0), Incarnation(n_crashes));
            if processes[0].verdict(bad) == Verdict::Suspect {
                let trial = Trial { fingerprint: bad, upstream: place.clone(), step: TrialStep::Started };
                for process in &mut processes {
                    process.apply_trial(&trial);
                }
            }
            for idx in 0..2 {
                // Bystanders of the first crash have stood their trials elsewhere and run here again.
                let running = bystanders.iter().filter(|it| it.1 == idx).map(|it| Fingerprint(it.0));
                let mut running: Vec<_> = running.collect();
                running.extend((idx == 0).then_some(bad));
                for piece in processes[idx].attribute_crash(&place, &running) {
                    for process in &mut processes {
                        process.insert(&piece);
                    }
                }
            }
            for other in bystanders.iter().map(|it| Fingerprint(it.0)) {
                let place = (upstream(1), Incarnation(1));
                for process in &mut processes {
                    process.apply_trial(&Trial { fingerprint: other, upstream: place.clone(), step: TrialStep::Passed });
                }
            }
        }
        for process in &processes {
            prop_assert_eq!(process.verdict(bad), Verdict::Quarantined);
            for other in bystanders.iter().map(|it| Fingerprint(it.0)) {
                prop_assert_eq!(process.verdict(other), Verdict::Clear);
            }
        }
    }

    #[test]
    fn one_trial_at_a_time_is_granted(asks in proptest::collection::vec((0..4_u128, proptest::bool::ANY), 0..30)) {
        let mut quarantine = Quarantine::default();
        let place = (upstream(0), Incarnation(1));
        let mut holder = None;
        for (it, is_ask) in asks {
            let trial = |step| Trial { fingerprint: Fingerprint(it), upstream: place.clone(), step };
            if is_ask {
                let is_granted = quarantine.grant_trial(&trial(TrialStep::Started));
                prop_assert_eq!(is_granted, holder.is_none() || holder == Some(it));
                holder = holder.or(Some(it));
            } else {
                quarantine.apply_trial(&trial(TrialStep::Passed));
                holder = holder.filter(|held| *held != it);
            }
        }
    }

    #[test]
    fn a_trial_that_ended_well_is_forgotten(fingerprints in proptest::collection::vec(0..4_u128, 0..10)) {
        let mut quarantine = Quarantine::default();
        let place = (upstream(0), Incarnation(1));
        let trial = |it: u128, step| Trial { fingerprint: Fingerprint(it), upstream: place.clone(), step };
        for it in &fingerprints {
            quarantine.apply_trial(&trial(*it, TrialStep::Started));
            prop_assert!(quarantine.has_trial(&place));
        }
        for it in &fingerprints {
            quarantine.apply_trial(&trial(*it, TrialStep::Aborted));
        }
        prop_assert!(!quarantine.has_trial(&place));
        prop_assert_eq!(quarantine.attribute_crash(&place, &[Fingerprint(9)]).len(), 1);
    }
}
