//! Start and stop of the process.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::Context as _;
use rocket::{
    Build, Request, Rocket, config::LogLevel, http::Status, response::Responder, routes,
    shield::Shield,
};
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    time::interval,
};

use lentilhitch_config::Settings;
use lentilhitch_peer::listen;
use lentilhitch_platform::Stream;
use lentilhitch_types::Problem;

use crate::{
    admin,
    claims::ClaimCommitter,
    drain,
    entry::Entry,
    follow::follow,
    front::{FrontHandler, respond_problem},
    orders,
    peer_handler::PeerHandler,
    peers, problems, upstreams,
};

/// Time for open connections to close after all requests are finished or handed over.
const CLOSE_GRACE_S: u32 = 1;

/// Runs an entry process until SIGTERM or SIGINT, then stops it without interrupting a request in progress.
///
/// Fails if an address can't be bound or a listener fails.
pub async fn serve(settings: Settings) -> anyhow::Result<()> {
    let mut terminate =
        signal(SignalKind::terminate()).context("failed to install the SIGTERM handler")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).context("failed to install the SIGINT handler")?;
    let (entry, committer) = Entry::new(settings)?;
    let settings = &entry.settings;
    let peer_listener = bind(settings.peer_address, "peer_address").await?;
    // Rocket binds its addresses itself. These checks come first so that an error names the setting.
    drop(bind(settings.front_address, "front_address").await?);
    drop(bind(settings.admin_address, "admin_address").await?);

    spawn_tasks(&entry, peer_listener, committer);

    let front = server(settings.front_address, entry.clone())
        .mount("/", FrontHandler(entry.clone()).routes())
        .mount("/lentilhitch", routes![admin::health, admin::ready])
        .register("/", rocket::catchers![unhandled])
        .ignite()
        .await?;
    let admin =
        server(settings.admin_address, entry.clone()).mount("/", admin::routes()).ignite().await?;
    let shutdowns = [front.shutdown(), admin.shutdown()];
    log::info!(instance:% = settings.instance, front:% = settings.front_address; "serving");
    let draining = entry.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        drain::drain(&draining).await;
        for shutdown in shutdowns {
            shutdown.notify();
        }
    });
    tokio::try_join!(front.launch(), admin.launch())?;
    log::info!(instance:% = settings.instance; "stopped");
    Ok(())
}

/// Spawns the tasks that run until the process ends, other than the HTTP servers.
fn spawn_tasks(entry: &Arc<Entry>, peer_listener: TcpListener, committer: ClaimCommitter) {
    let handler = Arc::new(PeerHandler(entry.clone()));
    tokio::spawn(listen(peer_listener, peers::link_settings(&entry.settings), handler));
    tokio::spawn(peers::run(entry.clone()));
    tokio::spawn(upstreams::poll_upstreams(entry.clone()));
    tokio::spawn(committer.run(entry.clone()));
    tokio::spawn(orders::run(entry.clone()));
    tokio::spawn(housekeeping(entry.clone()));
    let it = entry.clone();
    tokio::spawn(async move {
        follow(it.clone(), Stream::Config, &it.config, Entry::apply_config).await;
    });
    let it = entry.clone();
    tokio::spawn(
        async move { follow(it.clone(), Stream::Claims, &it.claims().follower, |_| {}).await },
    );
    let it = entry.clone();
    tokio::spawn(
        async move { follow(it.clone(), Stream::Leases, &it.orders.follower, |_| {}).await },
    );
}

/// Binds an address. An error names the setting.
async fn bind(address: SocketAddr, setting: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("{setting} {address} can't be listened on"))
}

/// Creates an HTTP server that leaves signals and logs to this process.
fn server(address: SocketAddr, entry: Arc<Entry>) -> Rocket<Build> {
    let mut config = rocket::Config {
        address: address.ip(),
        port: address.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        ident: rocket::config::Ident::none(),
        ..rocket::Config::default()
    };
    config.shutdown.ctrlc = false;
    config.shutdown.signals.clear();
    config.shutdown.grace = CLOSE_GRACE_S;
    config.shutdown.mercy = CLOSE_GRACE_S;
    rocket::custom(config).attach(Shield::new()).manage(entry)
}

/// Updates the demand of each team and removes expired journals and copies, once a second.
async fn housekeeping(entry: Arc<Entry>) {
    let mut ticks = interval(Duration::from_secs(1));
    loop {
        ticks.tick().await;
        entry.measure_demand();
        let (now_ms, retention_ms) = (entry.clock.now_ms(), entry.settings.timing.kept_answer_ms);
        entry.journal_copies.expire(now_ms, retention_ms);
        entry.journals.expire(now_ms, retention_ms, entry.settings.bounds.kept_answer_bytes_max);
    }
}

/// Responds to requests that Rocket itself rejects, for example because of an unknown method.
#[rocket::catch(default)]
fn unhandled(status: Status, _: &Request<'_>) -> ProblemResponse {
    let mut problem = problems::BAD_REQUEST.with(status.reason_lossy());
    problem.status = status.code;
    ProblemResponse(problem)
}

/// Problem as the return value of a Rocket catcher.
struct ProblemResponse(Problem);

impl<'r> Responder<'r, 'static> for ProblemResponse {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        Ok(respond_problem(self.0, None))
    }
}
