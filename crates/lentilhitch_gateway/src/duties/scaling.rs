//! Replica orders by the holder of the duty lease.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;
use tokio::time::sleep;

use lentilhitch_policy::{
    fleet::{self, Demand, Order, OrderResult, Plan, ReplicaKind, ReplicaPool},
    traffic::Scaling,
};
use lentilhitch_types::{LogPosition, ServiceName, Zone};

use crate::{
    duties::{SharedDuty, result_label},
    node::{Node, short_hash},
    platform::{DutyLease, DutyResult, Platform},
};

/// Interval at which the holder compares the replicas with the demand.
const SCALING_INTERVAL: Duration = Duration::from_millis(500);

/// Orders replicas while this node holds the duty lease.
pub(crate) async fn scale<P: Platform>(node: Rc<Node<P>>, duty: SharedDuty) {
    let mut plans: FxHashMap<ServiceName, Plan> = FxHashMap::default();
    loop {
        sleep(SCALING_INTERVAL).await;
        if !duty.borrow().is_held(node.now_ms()) {
            plans.clear();
            continue;
        }
        for (service, scaling, slots) in node.scaled_services() {
            let plan = plans
                .entry(service.clone())
                .or_insert_with(|| Plan::new(fleet::Settings::default(), service.clone()));
            plan.set_prefill_speed(node.state.borrow().load_table.prefill_tokens_per_s());
            let now_ms = node.now_ms();
            let (ready, reclaiming_zones) = node.replicas(&service);
            if ready.is_empty() {
                continue;
            }
            for zone in &reclaiming_zones {
                plan.on_reclaim(zone, now_ms);
            }
            let demand = node.demand(&service);
            for order in plan.orders(demand, slots, &scaling, &ready, now_ms) {
                let Some(fencing_token) = duty.borrow_mut().permit(node.now_ms()) else { break };
                let result =
                    order_replicas(&node, &duty, fencing_token, &order, demand, plan.need()).await;
                plan.on_order_result(&order, result, node.now_ms());
            }
        }
    }
}

/// Sends one order to the platform and logs its result.
async fn order_replicas<P: Platform>(
    node: &Rc<Node<P>>,
    duty: &SharedDuty,
    fencing_token: LogPosition,
    order: &Order,
    demand: Demand,
    need: u32,
) -> OrderResult {
    let lease = DutyLease { holder: node.instance(), fencing_token };
    let res = node.platform.order_replicas(lease, order).await;
    node.metrics.record_duty_call("scale", result_label(&res));
    log::info!(
        service = order.service.as_str(),
        zone = order.zone.as_str(),
        kind:? = order.kind,
        n_replicas = order.n_replicas,
        need,
        n_running = demand.n_running,
        prefill_tokens_per_s = demand.prefill_tokens_per_s,
        fence:% = fencing_token,
        result:? = res;
        "replicas ordered"
    );
    match res {
        Ok(DutyResult::Done) => OrderResult::Accepted,
        Ok(DutyResult::Unavailable) => OrderResult::Unavailable,
        Ok(DutyResult::Fenced) => {
            duty.borrow_mut().resign(node.now_ms());
            OrderResult::Unknown
        }
        Err(_) => OrderResult::Unknown,
    }
}

impl<P: Platform> Node<P> {
    /// Returns the services whose replicas are scaled, with the slots of one replica.
    fn scaled_services(&self) -> Vec<(ServiceName, Scaling, u32)> {
        let state = self.state.borrow();
        let services = state.route_table.iter().flat_map(|it| &it.config.services);
        let scaled = services.filter_map(|(name, it)| {
            let slots = it.engine.map_or(1, |it| it.slots);
            Some((name.clone(), it.scaling.clone()?, slots))
        });
        scaled.collect()
    }

    /// Returns the number of ready replicas in each pool, and the zone of each spot replica that is being reclaimed.
    fn replicas(&self, service: &ServiceName) -> (FxHashMap<ReplicaPool, u32>, Vec<Zone>) {
        let state = self.state.borrow();
        let mut ready: FxHashMap<ReplicaPool, u32> = FxHashMap::default();
        let mut reclaiming_zones = Vec::new();
        for it in state.catalog.iter().filter(|it| it.entry.service == *service) {
            let kind = if it.entry.is_spot { ReplicaKind::Spot } else { ReplicaKind::OnDemand };
            if it.is_ready() {
                *ready.entry((it.entry.zone.clone(), kind)).or_default() += 1;
            } else if it.entry.is_spot && it.ends_at_ms.is_some() {
                reclaiming_zones.push(it.entry.zone.clone());
            }
        }
        (ready, reclaiming_zones)
    }

    /// Returns the demand for a service, over all reachable nodes.
    fn demand(&self, service: &ServiceName) -> Demand {
        let now_ms = self.now_ms();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let upstreams = state.catalog.iter().filter(|it| it.entry.service == *service);
        let n_running =
            upstreams.map(|it| f64::from(state.load_table.n_running(&it.entry.id))).sum();
        let local = state.demand.get_mut(service).map_or(0.0, |it| it.per_s(now_ms));
        let (others, received_ms) = &state.other_demand;
        let is_recent = now_ms <= received_ms + OTHER_DEMAND_AGE_MAX_MS;
        let others = others.get(&short_hash(service.as_str())).filter(|_| is_recent);
        Demand { n_running, prefill_tokens_per_s: local + others.copied().unwrap_or_default() }
    }
}

/// Maximum age of the demand of the other nodes, after which only this node's own demand counts.
const OTHER_DEMAND_AGE_MAX_MS: u64 = 5_000;
