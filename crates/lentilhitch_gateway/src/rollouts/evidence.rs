//! Evidence that each node sends to the holder of the duty lease, and the grants that answer it.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use tokio::time::{sleep, timeout};

use lentilhitch_policy::{
    rollout::{Evidence, Grant, Plan},
    send_queue::Urgency,
};

use crate::{
    gossip::Datagram,
    node::Node,
    platform::Platform,
    rollouts::{RolloutMessage, Rollouts},
};

/// Interval at which a node checks whether evidence is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between evidence that is sent at once because of a bad response.
const URGENT_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which a node offers plans that the store has lost.
const OFFER_INTERVAL_MS: u64 = 1_000;

/// Sends this node's evidence whenever it is due.
pub(super) async fn send<P: Platform>(node: Rc<Node<P>>) {
    let Some(rollouts) = &node.rollouts else { return };
    let mut offered_ms = 0;
    loop {
        if timeout(CHECK_INTERVAL, rollouts.evidence_due.notified()).await.is_ok() {
            sleep(URGENT_INTERVAL).await;
        }
        let now_ms = node.now_ms();
        let due = rollouts.view.borrow_mut().evidence(node.n_nodes(), now_ms);
        for it in due {
            node.pass_to_holder(rollouts, RolloutMessage::Evidence(Box::new(it)));
        }
        if offered_ms + OFFER_INTERVAL_MS <= now_ms {
            offered_ms = now_ms;
            let plans: Vec<Plan> =
                rollouts.view.borrow().offered_plans().into_iter().cloned().collect();
            for it in plans {
                node.pass_to_holder(rollouts, RolloutMessage::LostPlan(Box::new(it)));
            }
        }
    }
}

impl<P: Platform> Node<P> {
    /// Passes a message to the holder of the duty lease, which may be this node. Nothing is sent if no reachable holder is
    /// known.
    fn pass_to_holder(&self, rollouts: &Rollouts, message: RolloutMessage) {
        if rollouts.holds_lease(self.now_ms()) {
            self.on_message_to_holder(rollouts, message, None);
        } else if let Some(holder) = self.duty_holder_address() {
            self.send_to(&Datagram::Rollouts(message), &[holder], Urgency::Urgent);
        }
    }

    /// Handles a message for the holder. `from` is the node that sent it, or `None` if it is this node.
    pub(super) fn on_message_to_holder(
        &self,
        rollouts: &Rollouts,
        message: RolloutMessage,
        from: Option<SocketAddr>,
    ) {
        if !rollouts.holds_lease(self.now_ms()) {
            return;
        }
        match message {
            RolloutMessage::Evidence(evidence) => {
                let Some(grant) = self.grant_for(rollouts, &evidence) else { return };
                match from {
                    None => self.on_grant(rollouts, grant),
                    Some(from) => {
                        let message = RolloutMessage::Grant(Box::new(grant));
                        self.send_to(&Datagram::Rollouts(message), &[from], Urgency::Urgent);
                    }
                }
            }
            RolloutMessage::LostPlan(plan) => {
                rollouts.controller.borrow_mut().on_offered_plan(*plan);
                rollouts.control_due.notify_one();
            }
            _ => {}
        }
    }

    fn grant_for(&self, rollouts: &Rollouts, evidence: &Evidence) -> Option<Grant> {
        let synced_ms = self.synced_ms();
        let from = evidence.from;
        rollouts.incarnations.borrow_mut().insert(from.node, from.incarnation);
        let mut controller = rollouts.controller.borrow_mut();
        controller.on_evidence(evidence, synced_ms);
        let grant = controller.grant(from, &evidence.service, synced_ms);
        rollouts.control_due.notify_one();
        grant
    }

    /// Handles a grant of the holder.
    pub(super) fn on_grant(&self, rollouts: &Rollouts, grant: Grant) {
        let (sent_ms, now_ms) = (grant.answers_ms, self.now_ms());
        rollouts.view.borrow_mut().on_grant(grant, sent_ms, now_ms);
    }
}
