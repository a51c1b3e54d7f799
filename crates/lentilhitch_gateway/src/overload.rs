//! Load shedding at this node: keeps the state of each service whose load is shed, see `lentilhitch_policy::overload`.

use std::cell::RefCell;

use rustc_hash::FxHashMap;

use lentilhitch_policy::{
    overload::{
        Capacity, Cause, Chosen, Decision, Overload, Request, Settings, most_urgent_priority,
        retry_after_ms,
    },
    traffic::UpstreamEntry,
};
use lentilhitch_types::ServiceName;

use crate::{
    admission::AdmittedRequest,
    node::{Node, State, available},
};

/// Time for which the sums over the upstreams of a service are used. Computing them for each request would cost a
/// lookup of each upstream.
const CAPACITY_TTL_MS: u64 = 50;

/// State of the load shedding of all services.
#[derive(Debug, Default)]
pub(crate) struct LoadShedding {
    settings: Settings,
    services: RefCell<FxHashMap<ServiceName, Service>>,
}

/// State of one service.
#[derive(Debug)]
struct Service {
    /// Version of the configuration that `most_urgent` is of.
    config_version: u64,
    /// Most urgent priority of the service, if its load is shed.
    most_urgent: Option<u8>,
    overload: Overload,
    /// Sums over the upstreams, and when they were computed.
    capacity: Option<(Capacity, u64)>,
}

/// Figures of a request that was rejected since its first event would come too late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Shed {
    pub(crate) retry_after_ms: u64,
    pub(crate) priority: u8,
    /// Expected time to the first event.
    pub(crate) expected_ms: u64,
    /// Requests at the chosen upstream.
    pub(crate) n_there: u32,
    /// Requests beyond the slots of all upstreams of the service.
    pub(crate) n_queued: u32,
}

impl LoadShedding {
    /// Calls `f` with the state of a service if its load is shed.
    fn with<T>(
        &self,
        state: &State,
        service: &ServiceName,
        f: impl FnOnce(&mut Service, u8) -> T,
    ) -> Option<T> {
        let config = &state.route_table.as_ref()?.config;
        if !self.settings.is_enabled {
            return None;
        }
        let mut services = self.services.borrow_mut();
        if !services.contains_key(service) {
            services.retain(|it, _| config.services.contains_key(it));
            let overload = Overload::new(self.settings);
            let new = Service { config_version: 0, most_urgent: None, overload, capacity: None };
            services.insert(service.clone(), new);
        }
        let it = services.get_mut(service)?;
        if it.config_version != config.version {
            it.config_version = config.version;
            it.most_urgent = most_urgent_priority(config, service);
        }
        let most_urgent = it.most_urgent?;
        Some(f(it, most_urgent))
    }
}

impl Service {
    fn capacity(&mut self, state: &State, service: &ServiceName, now_ms: u64) -> Capacity {
        let cached = self.capacity.filter(|it| now_ms.saturating_sub(it.1) < CAPACITY_TTL_MS);
        let (capacity, _) = *self.capacity.insert(cached.unwrap_or_else(|| {
            let upstreams = available(&state.catalog, &state.restrictions, service, now_ms);
            (state.load_table.capacity(upstreams, now_ms), now_ms)
        }));
        capacity
    }
}

impl<P> Node<P> {
    /// Decides whether a request that is assigned to an upstream is sent. Returns `None` if the load of its service is not
    /// shed.
    pub(crate) fn shed(
        &self,
        admitted: &AdmittedRequest,
        entry: &UpstreamEntry,
        uncached_tokens: u32,
        target_ms: u64,
    ) -> Option<Result<(), Shed>> {
        // A resumed stream has run in part, and its client waits for the rest.
        if admitted.head.prompt.is_none() || admitted.head.resumed_id.is_some() {
            return None;
        }
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let shedding = &self.load_shedding;
        let decided = shedding.with(state, &admitted.service, |service, most_urgent| {
            let chosen = state.load_table.load_beside(entry, uncached_tokens, now_ms);
            let Chosen { n_requests, slots, .. } = chosen;
            let capacity = if n_requests < slots {
                Capacity::default()
            } else {
                service.capacity(state, &admitted.service, now_ms)
            };
            let request = Request {
                priority: admitted.priority,
                is_most_urgent: admitted.priority <= most_urgent,
                team: admitted.team.as_ref(),
                uncached_tokens,
                target_ms,
                waited_ms: now_ms.saturating_sub(admitted.arrived_ms),
                remaining_ms: admitted.remaining_ms(now_ms),
            };
            let decision = service.overload.decide(request, chosen, capacity, now_ms);
            if let (Decision::Send(_), Some((sums, _))) = (decision, &mut service.capacity) {
                sums.add_request();
            }
            (decision, chosen, capacity)
        });
        let (decision, chosen, capacity) = decided?;
        let (result, decided) = match decision {
            Decision::Send(Cause::FreeSlot) => return Some(Ok(())),
            Decision::Send(Cause::InTime) => ("in_time", Ok(())),
            Decision::Send(Cause::MinShare) => ("min_share", Ok(())),
            Decision::Reject { expected_ms } => {
                let remaining_ms = admitted.remaining_ms(now_ms);
                let shed = Shed {
                    retry_after_ms: retry_after_ms(expected_ms, remaining_ms, &mut state.rng),
                    priority: admitted.priority,
                    expected_ms: expected_ms as u64,
                    n_there: chosen.n_requests,
                    n_queued: capacity.n_queued,
                };
                ("rejected", Err(shed))
            }
        };
        self.metrics.record_shedding(result, admitted.priority);
        Some(decided)
    }

    /// Records the time for which a request held a slot of an upstream, from the start of the response to its end.
    pub(crate) fn record_slot_time(&self, state: &State, service: &ServiceName, slot_ms: u64) {
        self.load_shedding.with(state, service, |it, _| it.overload.record_slot_time(slot_ms));
    }

    /// Returns the time after which a client whose request did not run may retry, by the forecast of when the requests
    /// that are queued at the upstreams have slots. Returns `None` if the load of the service is not shed or no request
    /// is queued, since the request was then rejected for another reason than a lack of capacity.
    pub(crate) fn forecast_retry_after_ms(&self, admitted: &AdmittedRequest) -> Option<u64> {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        let queue_ms = self.load_shedding.with(&state, &admitted.service, |it, _| {
            let capacity = it.capacity(&state, &admitted.service, now_ms);
            it.overload.queue_ms(capacity, admitted.priority)
        });
        let queue_ms = queue_ms.filter(|it| 0.0 < *it)?;
        Some(retry_after_ms(queue_ms, admitted.remaining_ms(now_ms), &mut state.rng))
    }
}
