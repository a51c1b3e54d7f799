//! Starting and stopping the process.

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
    claims::Committer,
    drain,
    entry::Entry,
    follow::follow,
    front::{FrontHandler, respond_problem},
    orders,
    peer_handler::PeerHandler,
    peers, problems, upstreams,
};

/// How long open connections get to finish once nothing is in progress.
const CLOSE_GRACE_S: u32 = 1;

/// Runs an entry process until it is told to stop by SIGTERM or SIGINT and has stopped without cutting a request.
///
/// Fails if an address can't be bound or a listener breaks.
pub async fn serve(settings: Settings) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM can't be handled")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT can't be handled")?;
    let (entry, committer) = Entry::new(settings)?;
    let settings = &entry.settings;
    let peer_listener = bind(settings.peer_address, "peer_address").await?;
    // Rocket binds for itself; this tells first, and with the name of the setting, if it can't.
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
    let stops = [front.shutdown(), admin.shutdown()];
    log::info!(instance:% = settings.instance, front:% = settings.front_address; "serving");
    let draining = entry.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        drain::drain(&draining).await;
        for stop in stops {
            stop.notify();
        }
    });
    tokio::try_join!(front.launch(), admin.launch())?;
    log::info!(instance:% = settings.instance; "stopped");
    Ok(())
}

/// Starts what runs beside the front door, each until the process ends.
fn spawn_tasks(entry: &Arc<Entry>, peer_listener: TcpListener, committer: Committer) {
    let handler = Arc::new(PeerHandler(entry.clone()));
    tokio::spawn(listen(peer_listener, peers::link_settings(&entry.settings), handler));
    tokio::spawn(peers::run(entry.clone()));
    tokio::spawn(upstreams::run(entry.clone()));
    tokio::spawn(committer.run(entry.clone()));
    tokio::spawn(orders::run(entry.clone()));
    tokio::spawn(housekeeping(entry.clone()));
    let it = entry.clone();
    tokio::spawn(async move {
        follow(it.clone(), Stream::Config, &it.config, Entry::apply_config).await;
    });
    let it = entry.clone();
    tokio::spawn(
        async move { follow(it.clone(), Stream::Claims, &it.claims().followed, |_| {}).await },
    );
    let it = entry.clone();
    tokio::spawn(
        async move { follow(it.clone(), Stream::Leases, &it.orders.followed, |_| {}).await },
    );
}

async fn bind(address: SocketAddr, setting: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("{setting} {address} can't be listened on"))
}

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

async fn housekeeping(entry: Arc<Entry>) {
    let mut ticks = interval(Duration::from_secs(1));
    loop {
        ticks.tick().await;
        entry.measure_demand();
        let (now_ms, kept_ms) = (entry.clock.now_ms(), entry.settings.timing.kept_answer_ms);
        entry.copies.expire(now_ms, kept_ms);
        entry.journals.expire(now_ms, kept_ms, entry.settings.bounds.kept_answer_bytes_max);
    }
}

/// What Rocket itself refuses, such as a method that it does not know.
#[rocket::catch(default)]
fn unhandled(status: Status, _: &Request<'_>) -> Refusal {
    let mut problem = problems::BAD_REQUEST.with(status.reason_lossy());
    problem.status = status.code;
    Refusal(problem)
}

/// A problem as Rocket takes it from a catcher.
struct Refusal(Problem);

impl<'r> Responder<'r, 'static> for Refusal {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        Ok(respond_problem(self.0, None))
    }
}
