//! What the process counts, in OpenTelemetry, shown in the Prometheus format.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram},
};

use lentilhitch_metrics::Exposition;

/// The instruments of the process.
pub(crate) struct Metrics {
    exposition: Exposition,
    requests: Counter<u64>,
    tokens: Counter<u64>,
    tries: Counter<u64>,
    appends: Counter<u64>,
    claims: Counter<u64>,
    uncopied: Counter<u64>,
    first_token_ms: Histogram<f64>,
}

impl Metrics {
    pub(crate) fn new() -> anyhow::Result<Self> {
        let (exposition, meter) = Exposition::new()?;
        Ok(Self {
            requests: meter.u64_counter("lentilhitch_requests").build(),
            tokens: meter.u64_counter("lentilhitch_tokens").build(),
            tries: meter.u64_counter("lentilhitch_tries").build(),
            appends: meter.u64_counter("lentilhitch_log_appends").build(),
            claims: meter.u64_counter("lentilhitch_claims").build(),
            uncopied: meter.u64_counter("lentilhitch_uncopied_releases").build(),
            first_token_ms: meter.f64_histogram("lentilhitch_first_token_ms").build(),
            exposition,
        })
    }

    pub(crate) fn request(&self, service: &str, status: u16) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("status", i64::from(status)),
        ];
        self.requests.add(1, &labels);
    }

    pub(crate) fn tokens(&self, n: u64) {
        self.tokens.add(n, &[]);
    }

    pub(crate) fn upstream_try(&self, result: &'static str) {
        self.tries.add(1, &[KeyValue::new("result", result)]);
    }

    /// One append that carried `n_claims` entries.
    pub(crate) fn claim_append(&self, n_claims: u64) {
        self.appends.add(1, &[]);
        self.claims.add(n_claims, &[]);
    }

    /// Tokens went to a caller although no copy of them was confirmed.
    pub(crate) fn uncopied_release(&self) {
        self.uncopied.add(1, &[]);
    }

    pub(crate) fn first_token(&self, ms: f64) {
        self.first_token_ms.record(ms, &[]);
    }

    /// All metrics as Prometheus text.
    pub(crate) fn render(&self) -> anyhow::Result<String> {
        self.exposition.render()
    }
}
