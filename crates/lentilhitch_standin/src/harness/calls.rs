//! Requests to the entry processes, and control requests to the stand-ins.

use std::{net::SocketAddr, time::Instant};

use anyhow::{Context as _, bail};
use parking_lot::Mutex;
use reqwest::Response;
use serde_json::{Value, json};

use crate::{
    application::Run,
    engine::Report,
    harness::{Cluster, Entry, POLL_INTERVAL, TOKEN, WAIT_TIMEOUT, until},
};

impl Cluster {
    /// Returns the state of an entry process, as its administrative address reports it.
    pub async fn dump(&self, entry: &Entry) -> reqwest::Result<Value> {
        self.get_json(&format!("http://{}/dump", entry.admin)).await
    }

    /// Returns the JSON at a URL of a stand-in or an administrative address.
    pub async fn get_json(&self, url: &str) -> reqwest::Result<Value> {
        self.http.get(url).timeout(WAIT_TIMEOUT).send().await?.json().await
    }

    /// Sets the faults that a stand-in injects.
    pub async fn set_faults(&self, address: SocketAddr, faults: &Value) -> reqwest::Result<()> {
        let request = self.http.post(format!("http://{address}/faults")).json(faults);
        request.send().await?.error_for_status().map(|_| ())
    }

    /// Waits until an engine runs a request, and returns the index of the engine.
    pub async fn busy_engine(&self) -> anyhow::Result<usize> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            for (idx, engine) in self.engines.iter().enumerate() {
                let load = self.get_json(&format!("http://{}/v1/load", engine.address)).await;
                if load.is_ok_and(|it| it["n_requests"].as_u64().is_some_and(|it| 0 < it)) {
                    return Ok(idx);
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        bail!("no engine ran a request before the timeout")
    }

    /// Waits until a URL responds with a success status. An error contains the last result and the ends of all logs.
    pub async fn until_ok(&self, url: &str) -> anyhow::Result<()> {
        let last_result = Mutex::new(String::new());
        let is_ok = || async {
            let res = self.http.get(url).send().await.and_then(Response::error_for_status);
            *last_result.lock() = format!("{res:?}");
            res.is_ok()
        };
        let res = until(url, is_ok).await;
        res.with_context(|| format!("last result: {}\n{}", last_result.lock(), self.log_tails()))
    }

    fn log_tails(&self) -> String {
        let upstreams = self.engines.iter().chain(&self.applications).map(|it| &it.process);
        let entries = self.entries.iter().map(|it| &it.process);
        let processes = std::iter::once(&self.platform).chain(upstreams).chain(entries);
        let tails = processes.map(|it| format!("--- log of {}\n{}\n", it.name, it.log_tail()));
        tails.collect()
    }

    /// Builds a completion request to an entry process.
    pub fn completion(
        &self,
        entry: &Entry,
        model: &str,
        prompt: &str,
        n_tokens: usize,
    ) -> reqwest::RequestBuilder {
        let body =
            json!({ "model": model, "prompt": prompt, "max_tokens": n_tokens, "stream": true });
        self.http
            .post(format!("http://{}/v1/completions", entry.front))
            .bearer_auth(TOKEN)
            .json(&body)
    }

    /// Builds a call of the at-most-once route `/commissions` of an entry process.
    pub fn commission(&self, entry: &Entry, key: &str, body: &str) -> reqwest::RequestBuilder {
        let request =
            self.http.post(format!("http://{}/commissions", entry.front)).bearer_auth(TOKEN);
        request.header("idempotency-key", key).body(body.to_owned())
    }

    /// Builds a request for the events of a stream after the one with the ID `last_id`.
    pub fn resume(
        &self,
        entry: &Entry,
        request_id: &str,
        last_id: usize,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{}/v1/requests/{request_id}/events", entry.front);
        self.http.get(url).bearer_auth(TOKEN).header("last-event-id", last_id.to_string())
    }

    /// Returns the calls that an application reports as executed, or none if it does not respond.
    pub async fn runs(&self, application: usize) -> Vec<Run> {
        let url = format!("http://{}/counts", self.applications[application].address);
        let runs = self.get_json(&url).await.unwrap_or_default();
        serde_json::from_value(runs).unwrap_or_default()
    }

    /// Returns an engine's report of its attempts and orders.
    pub async fn report(&self, engine: usize) -> anyhow::Result<Report> {
        let url = format!("http://{}/counts", self.engines[engine].address);
        Ok(serde_json::from_value(self.get_json(&url).await?)?)
    }

    /// Waits until a stream of the log contains a checkpoint.
    pub async fn until_checkpoint(&self, stream: &str) -> anyhow::Result<()> {
        let address = self.platform_address;
        let url = format!("http://{address}/v1/streams/{stream}/records?from=0&wait_ms=0");
        until(&format!("a checkpoint is in {stream}"), || async {
            let page = self.get_json(&url).await.unwrap_or_default();
            let records = page["records"].as_array().cloned().unwrap_or_default();
            let mut payloads = records.iter().filter_map(|it| it["payload"].as_str());
            payloads.any(|it| it.contains("checkpoint"))
        })
        .await
    }

    /// Returns the number of appends to a stream of the log, or 0 if the platform does not respond.
    pub async fn n_appends(&self, stream: &str) -> u64 {
        let counts = self.get_json(&format!("http://{}/counts", self.platform_address)).await;
        counts.unwrap_or_default()[stream].as_u64().unwrap_or_default()
    }
}
