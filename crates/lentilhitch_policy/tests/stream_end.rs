//! A stream is complete only if the end of its body shows that it is.

use lentilhitch_policy::stream_end::{EndMarker, RunStop, StreamEnd};

const AFTER_EVENT: StreamEnd = StreamEnd {
    marker: EndMarker::Explicit,
    has_event: true,
    is_inside_event: false,
    run_stop: RunStop::NotStopped,
};

#[test]
fn stream_is_complete_only_if_its_end_shows_it() {
    let unmarked = StreamEnd { marker: EndMarker::ConnectionEnd, ..AFTER_EVENT };
    let cases = [
        ("marked, after an event", AFTER_EVENT, true),
        ("marked, no event", StreamEnd { has_event: false, ..AFTER_EVENT }, true),
        ("marked, inside an event", StreamEnd { is_inside_event: true, ..AFTER_EVENT }, false),
        ("unmarked, after an event", unmarked, true),
        ("unmarked, no event", StreamEnd { has_event: false, ..unmarked }, false),
        ("unmarked, inside an event", StreamEnd { is_inside_event: true, ..unmarked }, false),
        (
            "unmarked, after a transfer without a known result",
            StreamEnd { run_stop: RunStop::MaybeStopped, ..unmarked },
            false,
        ),
        (
            "marked, after a transfer without a known result",
            StreamEnd { run_stop: RunStop::MaybeStopped, ..AFTER_EVENT },
            true,
        ),
    ];
    for (name, end, is_complete) in cases {
        assert_eq!(end.incomplete_reason().is_none(), is_complete, "{name}");
    }
}
