//! Command line of the development tool: stand-ins, a demonstration, and tools for load, traces and fault tests.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode};

use anyhow::Context as _;
use argh::FromArgs;

use lentilhitch_standin::{
    application, demo, engine, fleet_slopes, load, platform, record, replay, slopes, soak, trace,
};

/// Stand-ins for the platform, applications and engines, and tools that use them. For development only.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Platform(PlatformArgs),
    Application(ApplicationArgs),
    Engine(EngineArgs),
    Demo(DemoArgs),
    Load(LoadArgs),
    Slopes(SlopesArgs),
    FleetSlopes(FleetSlopesArgs),
    Record(RecordArgs),
    Replay(ReplayArgs),
    Soak(SoakArgs),
}

/// Run nodes under seeded faults and check the guarantees to clients. Stops at the first seed that violates one.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
struct SoakArgs {
    /// first seed (default: 1)
    #[argh(option, default = "1")]
    first: u64,
    /// number of seeds (default: 10)
    #[argh(option, default = "10")]
    seeds: u64,
    /// duration of the faults for each seed in seconds (default: 8)
    #[argh(option, default = "8")]
    seconds: u64,
    /// number of nodes (default: 3)
    #[argh(option, default = "3")]
    nodes: usize,
}

/// Run the platform: its log and instance list.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// IP address and port to listen on
    #[argh(option)]
    address: SocketAddr,
}

/// Run an application.
#[derive(FromArgs)]
#[argh(subcommand, name = "application")]
struct ApplicationArgs {
    /// IP address and port to listen on
    #[argh(option)]
    address: SocketAddr,
}

/// Run a model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// IP address and port to listen on
    #[argh(option)]
    address: SocketAddr,
    /// prompt tokens processed per second
    #[argh(option, default = "8000.0")]
    prefill_tokens_per_s: f64,
    /// time to generate one token in milliseconds
    #[argh(option, default = "20")]
    decode_ms: u64,
    /// maximum number of requests that run concurrently
    #[argh(option, default = "64")]
    slots: usize,
    /// blocks of 16 tokens that the prefix cache holds
    #[argh(option, default = "4096")]
    cache_blocks_max: usize,
    /// tokens whose KV cache can be exported per second
    #[argh(option, default = "20000.0")]
    kv_tokens_per_s: f64,
    /// reject orders with an outdated fencing token
    #[argh(switch)]
    checks_fencing: bool,
}

/// Start the complete system on this machine, send requests, inject faults and show the results.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct DemoArgs {}

/// Measure the latency, memory and processor time that an entry process adds to direct calls, in one run.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
struct LoadArgs {
    /// number of concurrent streams
    #[argh(option, default = "16")]
    streams: usize,
    /// total number of streams of each kind (direct, and through an entry process)
    #[argh(option, default = "400")]
    requests: usize,
}

/// Measure how the costs of a process grow with the size of the system, for docs/CAPACITY.md.
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
struct SlopesArgs {
    /// duration of each measurement of running processes in seconds (0: skip these measurements)
    #[argh(option, default = "10")]
    seconds: u64,
}

/// Measure without a network how the work and messages of a node grow with the nodes and upstreams, for docs/CAPACITY.md.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet-slopes")]
struct FleetSlopesArgs {}

/// Record a trace from the running system under a seeded load.
#[derive(FromArgs)]
#[argh(subcommand, name = "record")]
struct RecordArgs {
    /// trinacria or khao-rai
    #[argh(positional)]
    deployment: String,
    /// file to write
    #[argh(positional)]
    file: PathBuf,
    /// seed of the load
    #[argh(option, default = "1")]
    seed: u64,
}

/// Replay recorded traces with each routing strategy and print the outcomes.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
struct ReplayArgs {
    /// trace files
    #[argh(positional)]
    files: Vec<PathBuf>,
    /// write the outcomes beside each trace, as the reference for later runs
    #[argh(switch)]
    state: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(args.command).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("lentilhitch_standin: {err:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> anyhow::Result<()> {
    match command {
        Command::Platform(it) => platform::run(it.address).await,
        Command::Application(it) => application::run(it.address).await,
        Command::Engine(it) => {
            let settings = engine::Settings {
                prefill_tokens_per_s: it.prefill_tokens_per_s,
                decode_ms: it.decode_ms,
                slots: it.slots,
                cache_blocks_max: it.cache_blocks_max,
                kv_tokens_per_s: it.kv_tokens_per_s,
                checks_fencing: it.checks_fencing,
            };
            engine::run(it.address, settings).await
        }
        Command::Demo(DemoArgs {}) => demo::run().await,
        Command::Load(it) => load::run(it.streams, it.requests).await,
        Command::Slopes(it) => slopes::run(it.seconds).await,
        Command::FleetSlopes(FleetSlopesArgs {}) => fleet_slopes::run(),
        Command::Record(it) => record::run(&it.deployment, it.seed, &it.file).await,
        Command::Replay(it) => {
            for file in &it.files {
                let trace = trace::Trace::load(file)?;
                let outcomes = replay::replay(&trace)?;
                replay::print(&trace, &outcomes);
                if it.state {
                    let text = serde_json::to_string_pretty(&outcomes)?;
                    std::fs::write(file.with_extension("outcomes.json"), text + "\n")?;
                }
            }
            Ok(())
        }
        Command::Soak(it) => run_soak(&it).await,
    }
}

async fn run_soak(args: &SoakArgs) -> anyhow::Result<()> {
    for seed in args.first..args.first + args.seeds {
        let duration = std::time::Duration::from_secs(args.seconds);
        let settings =
            soak::Settings { seed, duration, n_nodes: args.nodes, ..soak::Settings::default() };
        let (n_served, n_sent) =
            soak::run(settings).await.with_context(|| format!("seed {seed}"))?;
        println!("seed {seed}: {n_served} of {n_sent} served, every promise held");
    }
    Ok(())
}
