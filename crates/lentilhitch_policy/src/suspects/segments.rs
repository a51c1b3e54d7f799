//! Detection of prompt segments that crash upstreams.
//!
//! Requests with such a segment may all differ otherwise, and share their other segments with sound requests. A segment
//! therefore becomes a candidate once it was present at crashes at several moments and no request with it was answered
//! since. It is
//! quarantined a while later, so that nodes where a request with it is answered in the meantime can object. A crash at
//! which a quarantined request or segment was present does not count against other segments.
//!
//! Of the segments that crashing requests share, those that were answered before, however long ago, are suspected last.
//! Only the nodes that have answered them know of it, so they add it to what other nodes report of a crash. A node that
//! hears too late of such an answer may quarantine the wrong segment; a node that knows better objects to the report of
//! this quarantine.
//!
//! Nodes tell each other of crashes, answers and quarantines in [`SegmentReport`]s. Quarantines are repeated, so that a
//! node that starts or was out of reach learns of them too.

use std::{cmp::Reverse, collections::VecDeque, num::NonZeroUsize};

use lru::LruCache;
use rustc_hash::{FxBuildHasher, FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use lentilhitch_types::SegmentId;

/// Thresholds and durations.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Number of crashes, at different moments, at which a segment becomes a candidate.
    pub n_crashes: usize,
    /// Crashes of which a node learns within this time count as one, since they may have a common cause.
    pub moment_ms: u64,
    /// Time from then until the quarantine. A crash that comes within this time after an answer does not count either.
    pub objection_ms: u64,
    /// Duration of a quarantine. After it, a single further crash makes the segment a candidate.
    pub quarantine_ms: u64,
    /// Interval at which the quarantined segments are reported again.
    pub reminder_interval_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            n_crashes: 3,
            moment_ms: 300,
            objection_ms: 1_000,
            quarantine_ms: 300_000,
            reminder_interval_ms: 1_000,
        }
    }
}

/// Maximum number of segments whose crashes are kept.
const SEGMENTS_MAX: usize = 4_096;
/// Maximum number of segments whose last answers are kept.
const ANSWERED_SEGMENTS_MAX: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();
/// Maximum number of crashes that are kept of a segment.
const CRASHES_PER_SEGMENT_MAX: usize = 64;
/// Maximum number of crashes that are remembered as explained by a quarantine.
const EXPLAINED_CRASHES_MAX: usize = 4_096;
/// Maximum number of quarantined segments in one reminder.
const REMINDERS_MAX: usize = 8;

/// What a node tells the others about a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum SegmentReport {
    /// A request with the segment was present at the crash.
    #[serde(rename = "c")]
    Crash {
        #[serde(rename = "s")]
        segment: SegmentId,
        #[serde(rename = "c")]
        crash: u64,
        /// Position of the segment in the prompt.
        #[serde(rename = "p")]
        position: u8,
        /// Whether a request with the segment was answered before, as far as the sender knows.
        #[serde(rename = "a", default, skip_serializing_if = "std::ops::Not::not")]
        was_answered: bool,
    },
    /// A request with the segment was answered, although the segment was present at crashes.
    #[serde(rename = "a")]
    Answered(SegmentId),
    /// The segment has been quarantined for some time.
    #[serde(rename = "q")]
    Quarantined {
        #[serde(rename = "s")]
        segment: SegmentId,
        #[serde(rename = "o")]
        age_ms: u64,
    },
}

/// What is known of one segment.
#[derive(Clone, Debug, Default)]
struct Evidence {
    /// Crashes since the last answer, and when this node learned of each.
    crashes: FxHashMap<u64, u64>,
    /// Crashes before the last answer or shortly after it.
    dismissed_crashes: FxHashSet<u64>,
    /// Last position of the segment in the prompts of these requests.
    position: u8,
    /// Whether a request with the segment was answered at any node, however long ago.
    was_answered: bool,
    candidate_since_ms: Option<u64>,
    answered_ms: Option<u64>,
    quarantined_ms: Option<u64>,
}

impl Evidence {
    fn dismiss(&mut self, crash: u64) {
        if CRASHES_PER_SEGMENT_MAX <= self.dismissed_crashes.len() {
            self.dismissed_crashes.clear();
        }
        self.dismissed_crashes.insert(crash);
    }

    /// Returns the number of crashes that nothing else explains.
    fn n_unexplained(&self, explained: &FxHashSet<u64>) -> usize {
        self.crashes.keys().filter(|it| !explained.contains(it)).count()
    }

    /// Returns the number of different moments of crashes that nothing else explains.
    fn n_moments(&self, explained: &FxHashSet<u64>, moment_ms: u64) -> usize {
        let unexplained = self.crashes.iter().filter(|it| !explained.contains(it.0));
        let mut times: Vec<_> = unexplained.map(|it| *it.1).collect();
        times.sort_unstable();
        let mut n_moments = 0;
        let mut moment_end_ms = 0;
        for it in times {
            if moment_end_ms <= it {
                n_moments += 1;
                moment_end_ms = it + moment_ms;
            }
        }
        n_moments
    }
}

/// Segments that were present at crashes.
#[derive(Clone, Debug)]
pub struct SegmentSuspects {
    settings: Settings,
    evidence: FxHashMap<SegmentId, Evidence>,
    insertion_order: VecDeque<SegmentId>,
    /// When a request with the segment was last answered at this node.
    answers: LruCache<SegmentId, u64, FxBuildHasher>,
    /// Crashes at which a quarantined request was present.
    explained_crashes: FxHashSet<u64>,
    /// Segments that have been quarantined since the last decision.
    newly_quarantined: Vec<SegmentId>,
    reports: Vec<SegmentReport>,
    reminded_ms: u64,
}

impl Default for SegmentSuspects {
    fn default() -> Self {
        Self::new(Settings::default())
    }
}

impl SegmentSuspects {
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            evidence: FxHashMap::default(),
            insertion_order: VecDeque::new(),
            answers: LruCache::with_hasher(ANSWERED_SEGMENTS_MAX, FxBuildHasher),
            explained_crashes: FxHashSet::default(),
            newly_quarantined: Vec::new(),
            reports: Vec::new(),
            reminded_ms: 0,
        }
    }

    /// Records a crash at which a request with the segments was present.
    pub fn record_crash(&mut self, crash: u64, segments: &[SegmentId], now_ms: u64) {
        for (position, segment) in (0..=u8::MAX).zip(segments.iter().copied()) {
            if self.insert_crash(segment, crash, position, now_ms) {
                let was_answered = self.was_answered(segment);
                self.entry(segment).was_answered = was_answered;
                let report = SegmentReport::Crash { segment, crash, position, was_answered };
                self.reports.push(report);
            }
        }
    }

    /// Records that a request with the segments was answered completely by an upstream that did not crash.
    pub fn record_answer(&mut self, segments: &[SegmentId], now_ms: u64) {
        for segment in segments {
            self.answers.put(*segment, now_ms);
            let is_suspect = self
                .evidence
                .get(segment)
                .is_some_and(|it| !it.crashes.is_empty() || it.quarantined_ms.is_some());
            if is_suspect {
                self.clear(*segment, now_ms);
                self.reports.push(SegmentReport::Answered(*segment));
            }
        }
    }

    /// Records that a quarantined request was present at a crash.
    pub fn explain_crash(&mut self, crash: u64) {
        if EXPLAINED_CRASHES_MAX <= self.explained_crashes.len() {
            self.explained_crashes.clear();
        }
        self.explained_crashes.insert(crash);
    }

    /// Handles a report of another node. Returns the segment if this node objects to its quarantine.
    pub fn on_report(&mut self, report: SegmentReport, now_ms: u64) -> Option<SegmentId> {
        match report {
            SegmentReport::Crash { segment, crash, position, was_answered } => {
                self.insert_crash(segment, crash, position, now_ms);
                self.on_earlier_answer(segment, crash, position, was_answered);
                None
            }
            SegmentReport::Answered(segment) => {
                self.clear(segment, now_ms);
                None
            }
            SegmentReport::Quarantined { segment, age_ms } => {
                let since_ms = now_ms.saturating_sub(age_ms);
                let evidence = self.entry(segment);
                let is_answered_since = evidence.answered_ms.is_some_and(|it| since_ms <= it);
                let is_over = evidence.quarantined_ms.is_none()
                    && since_ms + self.settings.quarantine_ms <= now_ms;
                if is_answered_since || is_over {
                    return None;
                }
                if !self.is_explained_by_unanswered(segment) {
                    self.quarantine(segment, since_ms);
                    return None;
                }
                self.clear(segment, now_ms);
                self.reports.push(SegmentReport::Answered(segment));
                Some(segment)
            }
        }
    }

    /// Starts and ends quarantines. Returns the segments that have been quarantined since the last call, each with the
    /// number of crashes that are known of it.
    pub fn decide(&mut self, now_ms: u64) -> Vec<(SegmentId, usize)> {
        if let Some(since_max_ms) = now_ms.checked_sub(self.settings.quarantine_ms) {
            self.end_quarantines(since_max_ms);
        }
        for segment in self.due_candidates(now_ms) {
            self.quarantine(segment, now_ms);
        }
        let newly_quarantined = std::mem::take(&mut self.newly_quarantined);
        newly_quarantined.into_iter().map(|it| (it, self.n_crashes(it))).collect()
    }

    /// Returns whether requests with the segment must not be sent to upstreams.
    pub fn is_quarantined(&self, segment: SegmentId) -> bool {
        self.evidence.get(&segment).is_some_and(|it| it.quarantined_ms.is_some())
    }

    /// Returns the reports for the other nodes that have come up since the last call, and reminders if they are due.
    pub fn take_reports(&mut self, now_ms: u64) -> Vec<SegmentReport> {
        let mut reports = std::mem::take(&mut self.reports);
        if self.reminded_ms + self.settings.reminder_interval_ms <= now_ms {
            self.reminded_ms = now_ms;
            reports.extend(self.reminders(now_ms));
        }
        reports
    }

    /// Returns the quarantined segments, and since when each is, the latest first.
    pub fn quarantines(&self) -> Vec<(SegmentId, u64)> {
        let quarantined = self.evidence.iter().filter_map(|it| Some((*it.0, it.1.quarantined_ms?)));
        let mut quarantined: Vec<_> = quarantined.collect();
        quarantined.sort_unstable_by_key(|it| Reverse((it.1, it.0)));
        quarantined
    }

    /// Returns the duration of a quarantine.
    pub fn quarantine_ms(&self) -> u64 {
        self.settings.quarantine_ms
    }

    /// Returns the interval at which quarantines are reported again.
    pub(super) fn reminder_interval_ms(&self) -> u64 {
        self.settings.reminder_interval_ms
    }

    /// Returns reports of the quarantines that began last.
    fn reminders(&self, now_ms: u64) -> impl Iterator<Item = SegmentReport> + use<> {
        let quarantines = self.quarantines().into_iter().take(REMINDERS_MAX);
        quarantines.map(move |(segment, since_ms)| SegmentReport::Quarantined {
            segment,
            age_ms: now_ms.saturating_sub(since_ms),
        })
    }

    fn n_crashes(&self, segment: SegmentId) -> usize {
        self.evidence.get(&segment).map_or(0, |it| it.crashes.len())
    }

    /// Returns whether the crash is new and counts.
    fn insert_crash(&mut self, segment: SegmentId, crash: u64, position: u8, now_ms: u64) -> bool {
        let Settings { n_crashes, moment_ms, objection_ms, .. } = self.settings;
        let local_answer_ms = self.answers.peek(&segment).copied();
        let evidence = self.entry(segment);
        evidence.position = position.max(evidence.position);
        if evidence.crashes.contains_key(&crash) || evidence.dismissed_crashes.contains(&crash) {
            return false;
        }
        if local_answer_ms.is_some_and(|it| now_ms <= it + objection_ms) {
            evidence.dismiss(crash);
            self.reports.push(SegmentReport::Answered(segment));
            return false;
        }
        if evidence.answered_ms.is_some_and(|it| now_ms <= it + objection_ms) {
            evidence.dismiss(crash);
            return false;
        }
        if CRASHES_PER_SEGMENT_MAX <= evidence.crashes.len() {
            return false;
        }
        evidence.crashes.insert(crash, now_ms);
        let n_moments = evidence.n_moments(&FxHashSet::default(), moment_ms);
        if evidence.candidate_since_ms.is_none() && n_crashes <= n_moments {
            evidence.candidate_since_ms = Some(now_ms);
        }
        true
    }

    /// Handles what the report of a crash says about earlier answers. Tells the other nodes of those that only this node
    /// knows.
    fn on_earlier_answer(
        &mut self,
        segment: SegmentId,
        crash: u64,
        position: u8,
        was_answered: bool,
    ) {
        let is_answered_here = self.answers.contains(&segment);
        let evidence = self.entry(segment);
        if was_answered {
            evidence.was_answered = true;
        } else if is_answered_here && !evidence.was_answered {
            evidence.was_answered = true;
            let report = SegmentReport::Crash { segment, crash, position, was_answered: true };
            self.reports.push(report);
        }
    }

    /// Returns whether requests with the segment were answered, and another segment, of which no answer is known, was
    /// present at all of its crashes.
    fn is_explained_by_unanswered(&self, segment: SegmentId) -> bool {
        let Settings { n_crashes, moment_ms, .. } = self.settings;
        let Some(evidence) = self.evidence.get(&segment) else { return false };
        // Fewer crashes than lead to a quarantine may be a part of those that others know.
        let n_moments = evidence.n_moments(&FxHashSet::default(), moment_ms);
        if n_moments < n_crashes || !self.was_answered(segment) {
            return false;
        }
        self.evidence.iter().any(|(other, it)| {
            !self.was_answered(*other)
                && evidence.crashes.keys().all(|crash| it.crashes.contains_key(crash))
        })
    }

    /// Clears a segment of all crashes so far, because a request with it was answered.
    fn clear(&mut self, segment: SegmentId, now_ms: u64) {
        let evidence = self.entry(segment);
        evidence.answered_ms = Some(now_ms);
        evidence.was_answered = true;
        evidence.candidate_since_ms = None;
        evidence.quarantined_ms = None;
        for crash in std::mem::take(&mut evidence.crashes).into_keys() {
            evidence.dismiss(crash);
        }
    }

    /// Returns the candidates to quarantine now: those present at the most crashes, then those with enough crashes that
    /// the first ones do not explain. A candidate waits while one that precedes it may still be cleared. Segments without
    /// any known answer go first, and of those present at as many crashes the last ones of the prompts, because a segment
    /// that most requests share is present at each crash too.
    fn due_candidates(&self, now_ms: u64) -> Vec<SegmentId> {
        let Settings { n_crashes, moment_ms, objection_ms, .. } = self.settings;
        let is_due = |it: &Evidence| {
            it.candidate_since_ms.is_some_and(|since_ms| since_ms + objection_ms <= now_ms)
        };
        let is_candidate =
            |it: &Evidence| it.quarantined_ms.is_none() && it.candidate_since_ms.is_some();
        let mut candidates: Vec<_> = self.evidence.iter().filter(|it| is_candidate(it.1)).collect();
        if !candidates.iter().any(|it| is_due(it.1)) {
            return Vec::new();
        }
        let quarantined = self.evidence.values().filter(|it| it.quarantined_ms.is_some());
        let mut explained = self.explained_crashes.clone();
        explained.extend(quarantined.flat_map(|it| it.crashes.keys()));
        let mut due = Vec::new();
        loop {
            candidates.retain(|it| n_crashes <= it.1.n_moments(&explained, moment_ms));
            let rank = |it: &(&SegmentId, &Evidence)| {
                (!self.was_answered(*it.0), it.1.n_unexplained(&explained), it.1.position)
            };
            let Some(rank_max) = candidates.iter().map(rank).max() else { return due };
            let (first, rest): (Vec<_>, _) =
                candidates.into_iter().partition(|it| rank(it) == rank_max);
            if !first.iter().all(|it| is_due(it.1)) {
                return due;
            }
            explained.extend(first.iter().flat_map(|it| it.1.crashes.keys()));
            due.extend(first.iter().map(|it| *it.0));
            candidates = rest;
        }
    }

    /// Returns whether a request with the segment was answered, at this node or, as far as is known, at another.
    fn was_answered(&self, segment: SegmentId) -> bool {
        self.answers.contains(&segment)
            || self.evidence.get(&segment).is_some_and(|it| it.was_answered)
    }

    fn quarantine(&mut self, segment: SegmentId, since_ms: u64) {
        let evidence = self.entry(segment);
        if evidence.quarantined_ms.is_some() {
            return;
        }
        evidence.quarantined_ms = Some(since_ms);
        self.newly_quarantined.push(segment);
    }

    /// Ends the quarantines that began by the given time.
    fn end_quarantines(&mut self, since_max_ms: u64) {
        let Settings { n_crashes, moment_ms, .. } = self.settings;
        let n_kept = n_crashes.saturating_sub(1);
        for it in self.evidence.values_mut() {
            if it.quarantined_ms.is_some_and(|it| it <= since_max_ms) {
                it.quarantined_ms = None;
                it.candidate_since_ms = None;
                let mut crashes: Vec<_> = it.crashes.drain().collect();
                crashes.sort_unstable_by_key(|it| it.1);
                // Those kept count as different moments.
                let n_kept = n_kept.min(crashes.len());
                for (idx, (crash, _)) in crashes.into_iter().enumerate() {
                    if idx < n_kept {
                        it.crashes.insert(crash, idx as u64 * moment_ms);
                    } else {
                        it.dismiss(crash);
                    }
                }
            }
        }
    }

    /// Returns the evidence of a segment. Drops the segment that was added first if there are too many.
    fn entry(&mut self, segment: SegmentId) -> &mut Evidence {
        if !self.evidence.contains_key(&segment) {
            if SEGMENTS_MAX <= self.insertion_order.len()
                && let Some(oldest) = self.insertion_order.pop_front()
            {
                self.evidence.remove(&oldest);
            }
            self.insertion_order.push_back(segment);
        }
        self.evidence.entry(segment).or_default()
    }
}
