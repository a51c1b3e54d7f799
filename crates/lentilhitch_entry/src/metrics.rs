//! Metrics of the process, recorded with OpenTelemetry and exposed in the Prometheus format.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram},
};

use lentilhitch_metrics::Exposition;

/// Metric instruments of the process.
pub(crate) struct Metrics {
    exposition: Exposition,
    requests: Counter<u64>,
    tokens: Counter<u64>,
    attempts: Counter<u64>,
    claim_appends: Counter<u64>,
    claims: Counter<u64>,
    uncopied_releases: Counter<u64>,
    first_token_ms: Histogram<f64>,
}

impl Metrics {
    pub(crate) fn new() -> anyhow::Result<Self> {
        let (exposition, meter) = Exposition::new()?;
        Ok(Self {
            requests: meter.u64_counter("lentilhitch_requests").build(),
            tokens: meter.u64_counter("lentilhitch_tokens").build(),
            attempts: meter.u64_counter("lentilhitch_tries").build(),
            claim_appends: meter.u64_counter("lentilhitch_log_appends").build(),
            claims: meter.u64_counter("lentilhitch_claims").build(),
            uncopied_releases: meter.u64_counter("lentilhitch_uncopied_releases").build(),
            first_token_ms: meter.f64_histogram("lentilhitch_first_token_ms").build(),
            exposition,
        })
    }

    /// Records the status of a response to a client.
    pub(crate) fn record_request(&self, service: &str, status: u16) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("status", i64::from(status)),
        ];
        self.requests.add(1, &labels);
    }

    /// Records tokens received from upstreams.
    pub(crate) fn record_tokens(&self, n_tokens: u64) {
        self.tokens.add(n_tokens, &[]);
    }

    /// Records an attempt at an upstream by its result.
    pub(crate) fn record_attempt(&self, result: &'static str) {
        self.attempts.add(1, &[KeyValue::new("result", result)]);
    }

    /// Records one append to the log with `n_claims` claim records.
    pub(crate) fn record_claim_append(&self, n_claims: u64) {
        self.claim_appends.add(1, &[]);
        self.claims.add(n_claims, &[]);
    }

    /// Records that tokens were released to a client although no peer had confirmed a copy of them.
    pub(crate) fn record_uncopied_release(&self) {
        self.uncopied_releases.add(1, &[]);
    }

    /// Records the time from accepting a request to its first token.
    pub(crate) fn record_first_token(&self, elapsed_ms: f64) {
        self.first_token_ms.record(elapsed_ms, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> anyhow::Result<String> {
        self.exposition.render()
    }
}
