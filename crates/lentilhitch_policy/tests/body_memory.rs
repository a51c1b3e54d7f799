//! The account of the memory of bodies: never over its bound, nothing left behind, and room for others.

use std::sync::Arc;

use bytes::Bytes;
use lentilhitch_policy::body_memory::{
    BodyBuffer, BodyError, BodyMemory, MemoryExhausted, Owner, Reservation,
};
use proptest::{prelude::*, test_runner::RngSeed};

const MEMORY_BYTES: usize = 100_000_000;
const SMALL_BYTES: usize = 4_000;
const LARGE_BYTES: usize = 2_000_000;

fn team(idx: u32) -> Owner {
    Owner::Team(Some(idx))
}

/// Holds bodies of an owner until one is refused. Returns them.
fn fill(memory: &Arc<BodyMemory>, owner: Owner, n_bytes: usize) -> Vec<Bytes> {
    let mut held = Vec::new();
    loop {
        let mut reservation = Reservation::new(memory, owner);
        if reservation.reserve(n_bytes).is_err() {
            return held;
        }
        held.push(reservation.hold(Bytes::from_static(b"a body")));
    }
}

/// Guards against uploads of one team, or large responses, that leave no memory for others or for small bodies.
#[test]
fn large_bodies_of_one_owner_leave_room_for_others_and_for_small_ones() {
    let owners = [team(1), Owner::Team(None), Owner::Peers, Owner::Responses];
    for hog in owners {
        let memory = BodyMemory::new(MEMORY_BYTES as u64);
        memory.on_resident_bytes(20_000_000);
        let of_hog = fill(&memory, hog, LARGE_BYTES);
        assert!(10 < of_hog.len(), "{hog:?} has {} large bodies", of_hog.len());
        let of_other = fill(&memory, team(2), LARGE_BYTES);
        assert!(of_hog.len() / 4 < of_other.len(), "{hog:?}: {}", of_other.len());
        let small = fill(&memory, hog, SMALL_BYTES);
        assert!(1_000 < small.len(), "{hog:?} has {} small bodies", small.len());
    }
}

/// Guards against a bound that ignores what the rest of the process takes, and against one that is too small to serve.
#[test]
fn bound_follows_from_what_the_rest_of_the_process_takes() {
    struct Case {
        name: &'static str,
        resident_bytes: Option<usize>,
        held_bytes: usize,
    }
    let cases = [
        Case { name: "not measured", resident_bytes: None, held_bytes: 40_000_000 },
        Case { name: "small", resident_bytes: Some(20_000_000), held_bytes: 70_000_000 },
        Case { name: "large", resident_bytes: Some(60_000_000), held_bytes: 30_000_000 },
        Case { name: "too large", resident_bytes: Some(95_000_000), held_bytes: 20_000_000 },
    ];
    for Case { name, resident_bytes, held_bytes } in cases {
        let memory = BodyMemory::new(MEMORY_BYTES as u64);
        if let Some(it) = resident_bytes {
            memory.on_resident_bytes(it);
        }
        let held = fill(&memory, team(1), SMALL_BYTES);
        assert_eq!(memory.n_bytes(), held_bytes, "{name}");
        drop(held);
        assert_eq!(memory.n_bytes(), 0, "{name}");
    }
}

/// Guards against a buffer that takes more than it has charged, or twice the length that the head states.
#[test]
fn buffer_charges_its_capacity() {
    struct Case {
        name: &'static str,
        stated_bytes: u64,
        n_chunks: usize,
        charged_max: usize,
    }
    const CHUNK_BYTES: usize = 10_000;
    const MAX_BYTES: usize = 1_000_000;
    let cases = [
        Case { name: "one chunk", stated_bytes: 0, n_chunks: 1, charged_max: CHUNK_BYTES },
        Case { name: "stated", stated_bytes: 500_000, n_chunks: 50, charged_max: 500_000 },
        Case { name: "not stated", stated_bytes: 0, n_chunks: 50, charged_max: 1_000_000 },
        Case { name: "more stated", stated_bytes: 900_000, n_chunks: 2, charged_max: 40_000 },
        Case { name: "less stated", stated_bytes: 10, n_chunks: 50, charged_max: 1_000_000 },
    ];
    for Case { name, stated_bytes, n_chunks, charged_max } in cases {
        let memory = BodyMemory::new(MEMORY_BYTES as u64);
        let reservation = Reservation::new(&memory, team(1));
        let mut buffer = BodyBuffer::new(reservation, MAX_BYTES, stated_bytes);
        for _ in 0..n_chunks {
            buffer.push(Bytes::from(vec![7; CHUNK_BYTES])).unwrap();
        }
        let body = buffer.finish();
        assert_eq!(body.len(), n_chunks * CHUNK_BYTES, "{name}");
        let charged = memory.n_bytes();
        assert!((body.len()..=charged_max).contains(&charged), "{name}: {charged} bytes");
        let copy = body.clone();
        drop(body);
        assert_eq!(memory.n_bytes(), charged, "{name}: a copy is left");
        drop(copy);
        assert_eq!(memory.n_bytes(), 0, "{name}");
    }
}

#[test]
fn body_over_its_maximum_is_refused() {
    let memory = BodyMemory::new(MEMORY_BYTES as u64);
    let mut buffer = BodyBuffer::new(Reservation::new(&memory, team(1)), 100, 1_000_000_000);
    buffer.push(Bytes::from_static(&[0; 60])).unwrap();
    assert_eq!(buffer.push(Bytes::from_static(&[0; 41])), Err(BodyError::TooLarge));
    buffer.push(Bytes::from_static(&[0; 40])).unwrap();
    assert_eq!(buffer.finish().len(), 100);
    assert_eq!(memory.n_bytes(), 0);
}

#[derive(Clone, Debug)]
enum Step {
    Begin { owner: u32 },
    Reserve { idx: usize, n_bytes: usize },
    Hold { idx: usize },
    CopyHeld { idx: usize },
    Cancel { idx: usize },
    Release { idx: usize },
    Measure { resident_bytes: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let idx = 0_usize..20;
    prop_oneof![
        (0_u32..3).prop_map(|owner| Step::Begin { owner }),
        (idx.clone(), 0_usize..8_000_000).prop_map(|(idx, n_bytes)| Step::Reserve { idx, n_bytes }),
        idx.clone().prop_map(|idx| Step::Hold { idx }),
        idx.clone().prop_map(|idx| Step::CopyHeld { idx }),
        idx.clone().prop_map(|idx| Step::Cancel { idx }),
        idx.prop_map(|idx| Step::Release { idx }),
        (0_usize..MEMORY_BYTES).prop_map(|resident_bytes| Step::Measure { resident_bytes }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(46), ..ProptestConfig::default() })]

    /// Guards against charges that are lost, released twice or left behind, in any order of what happens to bodies.
    #[test]
    fn account_is_the_sum_of_its_charges(steps in prop::collection::vec(step(), 1..200)) {
        let memory = BodyMemory::new(MEMORY_BYTES as u64);
        // Bodies that are being read, and those that are held, each with what it was charged.
        let mut reading: Vec<(Reservation, usize)> = Vec::new();
        let mut held: Vec<(Vec<Bytes>, usize)> = Vec::new();
        for it in steps {
            match it {
                Step::Begin { owner } => reading.push((Reservation::new(&memory, team(owner)), 0)),
                Step::Reserve { idx, n_bytes } => {
                    if let Some((reservation, charged)) = reading.get_mut(idx)
                        && reservation.reserve(n_bytes) != Err(MemoryExhausted)
                    {
                        *charged += n_bytes;
                    }
                }
                Step::Hold { idx } if idx < reading.len() => {
                    let (reservation, charged) = reading.swap_remove(idx);
                    held.push((vec![reservation.hold(Bytes::from_static(b"body"))], charged));
                }
                Step::CopyHeld { idx } => {
                    if let Some((copies, _)) = held.get_mut(idx) {
                        copies.push(copies[0].clone());
                    }
                }
                Step::Cancel { idx } if idx < reading.len() => drop(reading.swap_remove(idx)),
                Step::Release { idx } if idx < held.len() => {
                    held[idx].0.pop();
                    if held[idx].0.is_empty() {
                        held.swap_remove(idx);
                    }
                }
                Step::Measure { resident_bytes } => memory.on_resident_bytes(resident_bytes),
                Step::Hold { .. } | Step::Cancel { .. } | Step::Release { .. } => {}
            }
            let charged: usize = reading.iter().map(|it| it.1).chain(held.iter().map(|it| it.1)).sum();
            prop_assert_eq!(memory.n_bytes(), charged);
            prop_assert!(charged <= MEMORY_BYTES / 10 * 9);
        }
        drop((reading, held));
        prop_assert_eq!(memory.n_bytes(), 0);
        // Nothing is left of the owners' shares either.
        memory.on_resident_bytes(0);
        let again = fill(&memory, team(0), LARGE_BYTES);
        prop_assert_eq!(again.len(), 22);
    }
}
