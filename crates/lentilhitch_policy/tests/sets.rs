//! Notices and evidence agree in any order; quarantine stops a request after two crashes and spares the others.

use lentilhitch_policy::{
    notice::{Notice, Notices},
    quarantine::{Evidence, Quarantine, UpstreamLife, Verdict},
};
use lentilhitch_types::{Fingerprint, Incarnation, UpstreamName};
use proptest::prelude::{Strategy, prop_assert, prop_assert_eq, proptest};

fn upstream(idx: u8) -> UpstreamName {
    format!("engine-{idx}").parse().unwrap()
}

fn life() -> impl Strategy<Value = UpstreamLife> {
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

    /// One bad request among others, sent until it is refused: two upstreams crash, and no other request is quarantined.
    #[test]
    fn two_crashes_and_only_the_culprit_is_stopped(bystanders in proptest::collection::vec(1..20_u128, 0..8)) {
        let bad = Fingerprint(0);
        let mut quarantine = Quarantine::default();
        let mut n_crashes = 0;
        while quarantine.verdict(bad) != Verdict::Quarantined {
            n_crashes += 1;
            let is_suspect = quarantine.verdict(bad) == Verdict::Suspect;
            let shares = |it: &Fingerprint| !is_suspect || quarantine.verdict(*it) == Verdict::Clear;
            let newcomer = Fingerprint(100 + u128::from(n_crashes));
            let mut running: Vec<_> = bystanders.iter().copied().map(Fingerprint).filter(shares).collect();
            running.extend([newcomer, bad]);
            for piece in quarantine.blame(&(upstream(0), Incarnation(n_crashes)), &running) {
                quarantine.insert(&piece);
            }
            prop_assert!(n_crashes <= 2);
            let blamed_with_suspect = is_suspect && quarantine.verdict(newcomer) != Verdict::Clear;
            prop_assert!(!blamed_with_suspect, "blamed although a suspect ran beside it");
        }
        for other in bystanders.into_iter().map(Fingerprint) {
            prop_assert!(quarantine.verdict(other) != Verdict::Quarantined);
            quarantine.clear(other);
            prop_assert_eq!(quarantine.verdict(other), Verdict::Clear);
        }
        quarantine.clear(bad);
        prop_assert_eq!(quarantine.verdict(bad), Verdict::Quarantined);
    }
}
