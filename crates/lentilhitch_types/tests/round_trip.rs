//! Parsing the printed text of a value yields the same value, for every type.

use std::{fmt::Display, str::FromStr};

use lentilhitch_types::{
    AttemptId, ByteSize, Fingerprint, LogOffset, NameError, RequestRate, Zone,
};
use proptest::prelude::{any, prop_assert_eq, proptest};

fn print_and_parse<T: Display + FromStr>(value: &T) -> Option<T> {
    value.to_string().parse().ok()
}

proptest! {
    #[test]
    fn ids_and_sizes_round_trip(bits in any::<u128>(), n in any::<u64>(), rate in 0.0..1e9_f64) {
        let attempt = AttemptId::from_random(bits);
        prop_assert_eq!(print_and_parse(&attempt), Some(attempt));
        prop_assert_eq!(AttemptId::try_from(String::from(attempt)), Ok(attempt));
        prop_assert_eq!(print_and_parse(&LogOffset(n)), Some(LogOffset(n)));
        prop_assert_eq!(print_and_parse(&ByteSize(n)), Some(ByteSize(n)));
        prop_assert_eq!(print_and_parse(&RequestRate(rate)), Some(RequestRate(rate)));
        prop_assert_eq!(print_and_parse(&Fingerprint(bits)), Some(Fingerprint(bits)));
    }
}

struct NameCase {
    text: &'static str,
    expected: Result<(), NameError>,
}

#[test]
fn names_are_validated() {
    let cases = [
        NameCase { text: "catania-1", expected: Ok(()) },
        NameCase { text: "", expected: Err(NameError::Empty) },
        NameCase { text: "Catania", expected: Err(NameError::InvalidCharacter('C')) },
        NameCase { text: "a b", expected: Err(NameError::InvalidCharacter(' ')) },
    ];
    for case in cases {
        assert_eq!(Zone::from_str(case.text).map(|_| ()), case.expected, "{:?}", case.text);
    }
}

#[test]
fn fingerprint_depends_on_the_boundaries_of_parts() {
    assert_ne!(Fingerprint::of(&[b"ab", b"c"]), Fingerprint::of(&[b"a", b"bc"]));
}
