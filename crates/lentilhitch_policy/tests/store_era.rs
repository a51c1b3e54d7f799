//! The era of the store only rises, and positions of other eras are not used.

use proptest::prelude::*;

use lentilhitch_policy::store_era::{EraTracker, Observed};
use lentilhitch_types::{LogPosition, StoreEra};

#[test]
fn each_era_is_compared_with_the_highest_one_so_far() {
    use Observed::{Current, Outdated, Restored};
    let previous = StoreEra(3);
    let cases: [(&str, &[u32], Observed); 5] = [
        ("the first era, whatever it is", &[3], Current),
        ("the same era", &[3, 3], Current),
        ("a later era", &[3, 4], Restored { previous }),
        ("several restores that were not seen", &[3, 9], Restored { previous }),
        ("a late answer of an earlier era", &[3, 4, 3], Outdated),
    ];
    for (name, eras, expected) in cases {
        let mut tracker = EraTracker::default();
        let observed = eras.iter().map(|it| tracker.observe(StoreEra(*it))).last();
        assert_eq!(observed, Some(expected), "{name}");
        assert_eq!(tracker.current(), eras.iter().max().map(|it| StoreEra(*it)), "{name}");
    }
}

proptest! {
    /// Positions are ordered by era and then by offset, also as numbers, and keep both in text.
    #[test]
    fn positions_are_ordered_by_era_and_offset(
        a in (0_u32..5_000, 0_u64..1 << 39),
        b in (0_u32..5_000, 0_u64..1 << 39),
    ) {
        let position = |it: (u32, u64)| LogPosition::new(StoreEra(it.0), it.1);
        prop_assert_eq!(position(a).cmp(&position(b)), a.cmp(&b));
        prop_assert_eq!(position(a).number().cmp(&position(b).number()), a.cmp(&b));
        prop_assert_eq!((position(a).era().0, position(a).offset()), a);
        prop_assert_eq!(position(a).to_string().parse(), Ok(position(a)));
        prop_assert!(position(a) < position(a).next());
        let mut tracker = EraTracker::default();
        tracker.observe(StoreEra(a.0));
        prop_assert_eq!(tracker.is_usable(position(b)), a.0 == b.0);
    }
}
