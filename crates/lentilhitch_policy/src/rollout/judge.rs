//! Judges the target of an order by the counts of all nodes: failures and slow responses, over all routes and for each
//! route by itself.

use rustc_hash::FxHashMap;

use crate::rollout::{
    evidence::{Counts, N_GROUPS, RouteCounts},
    plan::Reason,
    sequential::{BaseRate, EProcess, Sample},
};

/// Probability with which a version that is no worse than the base may be condemned.
const ERROR_RATE: f64 = 5e-4;
/// Number of tests among which the half of the error rate that is not for all routes together is divided: failures and
/// slow responses for each of the routes that a node counts by themselves.
const N_ROUTE_TESTS: f64 = 16.0;
/// E-value from which on a version is condemned by all routes together. Half of the error rate is for two tests.
const E_ALL: f64 = 4.0 / ERROR_RATE;
/// E-value from which on a version is condemned by one route.
const E_ROUTE: f64 = 2.0 * N_ROUTE_TESTS / ERROR_RATE;
/// E-value that must be reached without the worst group of upstreams.
const E_WITHOUT_GROUP: f64 = 20.0;
/// Natural logarithm of the evidence against a route of the target from which on the version is not accepted. The
/// probability that a good version is refused for one route is at most `exp` of this negative number.
const LOG_ROUTE_REFUSED: f64 = 9.2;
/// Number of upstreams, and of groups with responses, from which on the test is also made without the worst group.
const N_FOR_EXCLUSION: usize = 3;

/// Counts that no block has used yet. They may be negative for a moment, when requests in flight end without being
/// judged.
#[derive(Clone, Copy, Debug, Default)]
struct Pending {
    n: i64,
    bad: i64,
}

impl Pending {
    /// Takes what a block can use. Bad responses in excess of the number wait for the next block.
    fn take(&mut self) -> Sample {
        let n = self.n.max(0);
        let bad = self.bad.clamp(0, n);
        self.n -= n;
        self.bad -= bad;
        Sample { n: n.cast_unsigned(), bad: bad.cast_unsigned() }
    }
}

/// Test of one kind of bad responses.
#[derive(Clone, Debug, Default)]
struct Track {
    rate: BaseRate,
    all: EProcess,
    without: [EProcess; N_GROUPS],
    groups: [Sample; N_GROUPS],
    pending_base: Pending,
    pending_target: [Pending; N_GROUPS],
}

impl Track {
    fn look(&mut self, is_base_idle: bool) {
        let n_target: i64 = self.pending_target.iter().map(|it| it.n.max(0)).sum();
        if n_target == 0 && is_base_idle || !is_base_idle && self.pending_base.n < n_target.max(1) {
            return;
        }
        let base = self.pending_base.take();
        let target = self.pending_target.each_mut().map(Pending::take);
        let rate = self.rate.get();
        let sum = target.iter().fold(Sample::default(), |sum, it| sum.plus(*it));
        self.all.observe(base, sum, rate, !is_base_idle);
        for (group, it) in target.iter().enumerate() {
            self.groups[group] = self.groups[group].plus(*it);
            let rest = Sample { n: sum.n - it.n, bad: sum.bad - it.bad };
            self.without[group].observe(base, rest, rate, !is_base_idle);
        }
        self.rate.observe(base);
    }

    fn restart(&mut self) {
        self.all.restart();
        self.without.iter_mut().for_each(EProcess::restart);
    }

    /// Returns the test without the group with most bad responses, if there are enough groups.
    fn without_worst(&self, n_upstreams: usize) -> Option<&EProcess> {
        let n_groups = self.groups.iter().filter(|it| 0 < it.n).count();
        let worst = (0..N_GROUPS).max_by_key(|it| self.groups[*it].bad)?;
        (N_FOR_EXCLUSION <= n_upstreams.min(n_groups)).then(|| &self.without[worst])
    }

    fn is_condemned(&self, level: f64, n_upstreams: usize) -> bool {
        let without_worst = self.without_worst(n_upstreams);
        level <= self.all.e_value()
            && without_worst.is_none_or(|it| E_WITHOUT_GROUP <= it.e_value())
    }

    fn log_favor(&self, n_upstreams: usize) -> f64 {
        let without_worst = self.without_worst(n_upstreams).map(EProcess::log_favor);
        self.all.log_favor().max(without_worst.unwrap_or(f64::NEG_INFINITY))
    }
}

#[derive(Clone, Debug, Default)]
struct Pair {
    failures: Track,
    slow: Track,
}

impl Pair {
    fn tracks(&mut self) -> [&mut Track; 2] {
        [&mut self.failures, &mut self.slow]
    }

    fn add(&mut self, group: Option<usize>, change: &Change) {
        let failures = group
            .map_or(&mut self.failures.pending_base, |it| &mut self.failures.pending_target[it]);
        failures.n += change.sent;
        failures.bad += change.failures;
        let slow =
            group.map_or(&mut self.slow.pending_base, |it| &mut self.slow.pending_target[it]);
        slow.n += change.timed;
        slow.bad += change.slow;
    }
}

/// Difference of two cumulative counts.
struct Change {
    /// Requests that were sent. Failures are often faster than other responses, so those in flight count as not failed
    /// until they are.
    sent: i64,
    failures: i64,
    timed: i64,
    slow: i64,
}

impl Change {
    fn between(old: &Counts, new: &Counts) -> Self {
        let change = |old: u64, new: u64| new.cast_signed() - old.cast_signed();
        Self {
            sent: change(old.responses + old.open, new.responses + new.open),
            failures: change(old.failures, new.failures),
            timed: change(old.timed, new.timed),
            slow: change(old.slow, new.slow),
        }
    }
}

/// Tests of one order.
#[derive(Clone, Debug, Default)]
pub struct Judge {
    all: Pair,
    routes: FxHashMap<u32, Pair>,
    base: Counts,
    target: Counts,
}

impl Judge {
    /// Handles a change of the counts of one run of a node.
    pub fn on_counts(&mut self, old: &[RouteCounts], new: &[RouteCounts]) {
        let none = RouteCounts::default();
        for new in new {
            let old = old.iter().find(|it| it.route == new.route).unwrap_or(&none);
            self.add(new.route, None, &old.base, &new.base);
            for (group, counts) in &new.target {
                let old = old.target.iter().find(|it| it.0 == *group);
                let old = old.map(|it| it.1).unwrap_or_default();
                self.add(new.route, Some(usize::from(*group) % N_GROUPS), &old, counts);
            }
        }
    }

    fn add(&mut self, route: u32, group: Option<usize>, old: &Counts, new: &Counts) {
        let change = Change::between(old, new);
        self.all.add(group, &change);
        self.routes.entry(route).or_default().add(group, &change);
        let total = if group.is_some() { &mut self.target } else { &mut self.base };
        total.responses += new.responses.saturating_sub(old.responses);
        total.failures += new.failures.saturating_sub(old.failures);
        total.timed += new.timed.saturating_sub(old.timed);
        total.slow += new.slow.saturating_sub(old.slow);
    }

    /// Evaluates the counts since the last look as one block. `is_base_idle` means that the base gets no new requests.
    pub fn look(&mut self, is_base_idle: bool) {
        for pair in self.routes.values_mut().chain([&mut self.all]) {
            for it in pair.tracks() {
                it.look(is_base_idle);
            }
        }
    }

    /// Lets a part of the initial capital of all tests enter, so that a change for the worse is found soon.
    pub fn restart(&mut self) {
        for pair in self.routes.values_mut().chain([&mut self.all]) {
            for it in pair.tracks() {
                it.restart();
            }
        }
    }

    /// Returns what condemns the target, of which `n_upstreams` upstreams are in use.
    pub fn condemns(&self, n_upstreams: usize) -> Option<Reason> {
        let is_condemned = |track: fn(&Pair) -> &Track| {
            track(&self.all).is_condemned(E_ALL, n_upstreams)
                || self.routes.values().any(|it| track(it).is_condemned(E_ROUTE, n_upstreams))
        };
        if is_condemned(|it| &it.failures) {
            return Some(Reason::Failures);
        }
        is_condemned(|it| &it.slow).then_some(Reason::Slow)
    }

    /// Returns the natural logarithm of the evidence for the target: the weaker one of failures and slow responses. It is
    /// negative if one route speaks clearly against the target.
    pub fn log_favor(&self, n_upstreams: usize) -> f64 {
        let favors =
            |it: &Pair| it.failures.log_favor(n_upstreams).min(it.slow.log_favor(n_upstreams));
        let worst_route = self.routes.values().map(favors).fold(f64::INFINITY, f64::min);
        if worst_route < -LOG_ROUTE_REFUSED {
            return worst_route;
        }
        let failures = self.all.failures.log_favor(n_upstreams);
        // Without any latency to compare, slow responses can't be judged.
        if self.target.timed == 0 {
            return failures;
        }
        failures.min(self.all.slow.log_favor(n_upstreams))
    }

    /// Returns the common logarithms of the highest e-values of failures and of slow responses.
    pub fn log10_e(&self) -> (f64, f64) {
        let pairs = || self.routes.values().chain([&self.all]);
        let highest = |values: &mut dyn Iterator<Item = f64>| {
            values.fold(f64::MIN_POSITIVE, f64::max).log10()
        };
        (
            highest(&mut pairs().map(|it| it.failures.all.e_value())),
            highest(&mut pairs().map(|it| it.slow.all.e_value())),
        )
    }

    /// Returns the total counts of the base and of the target.
    pub fn totals(&self) -> (Counts, Counts) {
        (self.base, self.target)
    }
}
