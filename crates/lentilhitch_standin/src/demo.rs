//! Demonstration: runs the complete system on this machine, sends requests and injects faults.

use crate::{
    engine::expected_completion,
    harness::{Cluster, DURABLE_MODEL, Options, read_events},
};

const PROMPT: &str = "Review this paragraph: the lentils of Ustica are sown in january.";

/// Runs the demonstration and prints the results.
pub async fn run() -> anyhow::Result<()> {
    println!("Starting a platform, two engines, an application and two entry processes ...");
    let mut cluster = Cluster::start(Options { decode_ms: 40, ..Options::default() }).await?;
    let folder = cluster.declarations()?;
    println!("Publishing the declarations of two language services, an application and a team:");
    let (_, output) = cluster.publish(&folder)?;
    for line in output.lines() {
        println!("    {line}");
    }
    println!();
    cluster.until_ready().await?;

    println!("A review, streamed through entry-1:");
    show_review(&cluster, 0, 24).await?;

    println!("A commission, sent twice with one key, the second time to entry-2:");
    for entry in &cluster.entries {
        let response =
            cluster.commission(entry, "commission-7", "correct chapter 3").send().await?;
        let is_replay = response.headers().contains_key("idempotency-replayed");
        println!(
            "    {}: {} {}{}",
            entry.name,
            response.status(),
            response.text().await?,
            if is_replay { " (replayed)" } else { "" }
        );
    }
    let runs =
        cluster.get_json(&format!("http://{}/counts", cluster.applications[0].address)).await?;
    println!("    The application ran it {} time(s).\n", runs.as_array().map_or(0, Vec::len));

    println!("A review while the engine that runs it is killed:");
    let response = cluster
        .completion(&cluster.entries[0], DURABLE_MODEL, "A second review.", 60)
        .send()
        .await?;
    let busy = cluster.busy_engine().await?;
    println!("    killing {}", cluster.engines[busy].name);
    cluster.engines[busy].process.kill();
    check_review(response, "A second review.", 60).await?;

    println!("Stopping entry-1 (SIGTERM) while it streams a review:");
    let response = cluster
        .completion(&cluster.entries[0], DURABLE_MODEL, "A third review.", 60)
        .send()
        .await?;
    cluster.entries[0].process.terminate();
    check_review(response, "A third review.", 60).await?;
    let code = cluster.entries[0].process.wait()?;
    println!("    entry-1 exited with code {}.", code.unwrap_or(-1));
    Ok(())
}

/// Requests a review and prints it.
async fn show_review(cluster: &Cluster, entry: usize, n_tokens: usize) -> anyhow::Result<()> {
    let response =
        cluster.completion(&cluster.entries[entry], DURABLE_MODEL, PROMPT, n_tokens).send().await?;
    check_review(response, PROMPT, n_tokens).await
}

/// Prints a review and returns an error if it differs from the expected completion.
async fn check_review(
    response: reqwest::Response,
    prompt: &str,
    n_tokens: usize,
) -> anyhow::Result<()> {
    let completion = read_events(response).await.text();
    let is_as_expected = completion == expected_completion(prompt, n_tokens);
    println!("   {completion}");
    println!(
        "    {} tokens, {}\n",
        n_tokens,
        if is_as_expected { "every one as expected" } else { "NOT as expected" }
    );
    anyhow::ensure!(is_as_expected, "the review differs from the expected completion");
    Ok(())
}
