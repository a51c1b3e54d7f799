//! OpenTelemetry instruments, exported in the Prometheus text format.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Exports the metrics of a process as text.
pub struct Exposition {
    registry: Registry,
    // Keeps the instruments alive.
    _provider: SdkMeterProvider,
}

impl Exposition {
    /// Creates an empty exposition and the meter whose instruments it exports.
    pub fn new() -> anyhow::Result<(Self, Meter)> {
        let registry = Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("lentilhitch");
        Ok((Self { registry, _provider: provider }, meter))
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> anyhow::Result<String> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8(text)?)
    }
}
