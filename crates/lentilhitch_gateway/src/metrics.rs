//! Metrics of a node, recorded with OpenTelemetry and exported in the Prometheus format.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};

use lentilhitch_metrics::Exposition;
use lentilhitch_policy::{peer_queries::QueryResult, rollout::StageReport};

/// OpenTelemetry instruments of a node.
pub(crate) struct Metrics {
    exposition: Exposition,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    shedding: Counter<u64>,
    store_calls: Counter<u64>,
    peer_queries: Counter<u64>,
    peer_response_bytes: Counter<u64>,
    duty_calls: Counter<u64>,
    first_byte_ms: Histogram<f64>,
    version_requests: Counter<u64>,
    rollout_stage: Gauge<u64>,
    rollout_responses: Gauge<u64>,
}

impl Metrics {
    pub(crate) fn new() -> anyhow::Result<Self> {
        let (exposition, meter) = Exposition::new()?;
        Ok(Self {
            requests: meter.u64_counter("lentilhitch_requests").build(),
            attempts: meter.u64_counter("lentilhitch_tries").build(),
            shedding: meter.u64_counter("lentilhitch_shedding").build(),
            store_calls: meter.u64_counter("lentilhitch_store_calls").build(),
            peer_queries: meter.u64_counter("lentilhitch_peer_queries").build(),
            peer_response_bytes: meter.u64_counter("lentilhitch_peer_response_bytes").build(),
            duty_calls: meter.u64_counter("lentilhitch_duty_calls").build(),
            first_byte_ms: meter.f64_histogram("lentilhitch_first_byte_ms").build(),
            version_requests: meter.u64_counter("lentilhitch_version_requests").build(),
            rollout_stage: meter.u64_gauge("lentilhitch_rollout_stage").build(),
            rollout_responses: meter.u64_gauge("lentilhitch_rollout_responses").build(),
            exposition,
        })
    }

    /// Records a response to a client.
    pub(crate) fn record_request(&self, route: &str, status: u16, first_byte_ms: u64) {
        let labels =
            [KeyValue::new("route", route.to_owned()), KeyValue::new("status", i64::from(status))];
        self.requests.add(1, &labels);
        self.first_byte_ms.record(first_byte_ms as f64, &labels[..1]);
    }

    /// Records the result of an attempt at an upstream.
    pub(crate) fn record_attempt(&self, result: &'static str) {
        self.attempts.add(1, &[KeyValue::new("result", result)]);
    }

    /// Records the decision on a request that found no free slot.
    pub(crate) fn record_shedding(&self, result: &'static str, priority: u8) {
        let labels =
            [KeyValue::new("result", result), KeyValue::new("priority", i64::from(priority))];
        self.shedding.add(1, &labels);
    }

    /// Records a finished call to the store.
    pub(crate) fn record_store_call(&self, topic: &'static str, is_ok: bool) {
        self.store_calls.add(1, &[KeyValue::new("topic", topic), KeyValue::new("ok", is_ok)]);
    }

    /// Records a finished query of a peer for a newer configuration or list of upstreams.
    pub(crate) fn record_peer_query(&self, result: QueryResult) {
        let result = match result {
            QueryResult::Newer => "newer",
            QueryResult::NotNewer => "not newer",
            QueryResult::Busy => "busy",
            QueryResult::Failed => "failed",
        };
        self.peer_queries.add(1, &[KeyValue::new("result", result)]);
    }

    /// Records the size of a large response to a peer, which was sent or was not since the node is busy.
    pub(crate) fn record_peer_response(&self, result: &'static str, n_bytes: usize) {
        self.peer_response_bytes.add(n_bytes as u64, &[KeyValue::new("result", result)]);
    }

    /// Records the result of a duty call.
    pub(crate) fn record_duty_call(&self, duty: &'static str, result: &'static str) {
        self.duty_calls.add(1, &[KeyValue::new("duty", duty), KeyValue::new("result", result)]);
    }

    /// Records the end of a request to an upstream of a version, in deployments with rollouts.
    pub(crate) fn record_version_request(
        &self,
        service: &str,
        version: &str,
        result: &'static str,
    ) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("version", version.to_owned()),
            KeyValue::new("result", result),
        ];
        self.version_requests.add(1, &labels);
    }

    /// Records the evidence behind the stage of a rollout, as the holder of the duty lease has added it up.
    pub(crate) fn record_rollout(&self, report: &StageReport) {
        let service = || KeyValue::new("service", report.service.to_string());
        self.rollout_stage.record(
            report.stage as u64,
            &[service(), KeyValue::new("version", report.to.to_string())],
        );
        for (side, counts) in [("base", report.base), ("target", report.target)] {
            let kinds = [("all", counts.0), ("failed", counts.1), ("slow", counts.2)];
            for (kind, n) in kinds {
                let labels = [service(), KeyValue::new("side", side), KeyValue::new("kind", kind)];
                self.rollout_responses.record(n, &labels);
            }
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> anyhow::Result<String> {
        self.exposition.render()
    }
}
