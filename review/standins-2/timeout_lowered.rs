//! The replicas of a service are replaced by those of another version, and a configuration lowers the timeout of its
//! route, while streams run that began before.

use std::{
    path::Path,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, World,
    client::{Attempt, End, Event, send},
    config,
    replica::{Replica, Settings},
    replicas,
};

const N_STREAMS: usize = 8;
const N_EVENTS: u64 = 71;
const EVENT_INTERVAL_MS: u64 = 200;
const TIME_LIMIT: Duration = Duration::from_secs(15);
const TIMEOUT_LOWERED_MS: u64 = 5_000;
const RETRY_WAIT: Duration = Duration::from_millis(100);
const N_RETRIES: usize = 3;

/// Plays a requester that takes its stream up again until its time is over, and returns the events that it has seen.
fn request(world: &World, number: usize) -> Vec<Event> {
    let start = Instant::now();
    let first_id = format!("{number:04x}b{:011x}", 0);
    let mut events: Vec<Event> = Vec::new();
    for n_try in 0..=N_RETRIES {
        let Some(remaining) = TIME_LIMIT.checked_sub(start.elapsed()) else { break };
        let id = format!("{number:04x}b{n_try:011x}");
        let parts = format!("5c1e07a2:120,{number:08x}:80,{number:04x}ffff:250");
        let attempt = Attempt {
            id: &id,
            path: "/stream/2f",
            parts: &parts,
            n_events: N_EVENTS,
            remaining,
            resumes: events.last().map(|it| (first_id.as_str(), it.0)),
        };
        let machine = world.rotation.machine(number + n_try);
        match send(machine, &attempt, &world.record, |it| events.push(it)) {
            End::Complete => break,
            End::Status(_, wait) => thread::sleep(wait.unwrap_or_default().max(RETRY_WAIT)),
            _ => thread::sleep(RETRY_WAIT),
        }
    }
    events
}

/// Begins short streams at all machines, until the end.
fn begin_others(world: &World, is_over: &AtomicBool) {
    for number in 0_usize.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("{number:04x}c{:011x}", 0);
        let parts = format!("5c1e07a2:120,{number:08x}:80,{number:04x}ffff:250");
        let attempt = Attempt {
            id: &id,
            path: "/stream/2f",
            parts: &parts,
            n_events: 3,
            remaining: Duration::from_secs(5),
            resumes: None,
        };
        send(world.rotation.machine(number), &attempt, &world.record, |_| {});
    }
}

fn start(world: &World, settings: Vec<Settings>) -> Vec<std::sync::Arc<Replica>> {
    let started = settings.into_iter().map(|it| {
        let settings = Settings { ip: world.network.replica(), ..it };
        Replica::start(settings, &world.store, &world.record)
    });
    started.collect()
}

pub fn play(record_path: &Path) -> Verdict {
    let started = World::start(record_path, 4, &replicas(2, "v1", EVENT_INTERVAL_MS));
    let Some((world, old)) = started else { return Verdict::CouldNotRun };
    let (is_release, is_lowered) = match world.trouble.as_str() {
        "0" => (false, false),
        "release" => (true, false),
        _ => (true, true),
    };
    thread::sleep(Duration::from_secs(4));
    let is_over = AtomicBool::new(false);
    let (world, is_over) = (&world, &is_over);
    let streams: Vec<Vec<Event>> = thread::scope(|scope| {
        let spawn = |number| scope.spawn(move || request(world, number));
        let all: Vec<_> = (0..N_STREAMS).map(spawn).collect();
        let begin = Instant::now();
        let wait_until = |seconds: f64| {
            thread::sleep(Duration::from_secs_f64(seconds).saturating_sub(begin.elapsed()));
        };
        let mut new = Vec::new();
        if is_release {
            wait_until(0.5);
            new = start(world, replicas(2, "v2", EVENT_INTERVAL_MS));
        }
        if is_lowered {
            wait_until(1.0);
            world.store.write("keyed.op", "config", &config(2, TIMEOUT_LOWERED_MS));
            world.record.line("the configuration 2 lowers the timeout");
        }
        if is_release {
            wait_until(1.5);
            old.iter().for_each(|it| it.unlist());
        }
        wait_until(3.0);
        let others = [scope.spawn(move || begin_others(world, is_over))];
        if is_release {
            wait_until(13.3);
            old.iter().for_each(|it| it.exit());
        }
        let streams = all.into_iter().map(|it| it.join().unwrap()).collect();
        is_over.store(true, Ordering::SeqCst);
        others.into_iter().for_each(|it| it.join().unwrap());
        drop(new);
        streams
    });
    if streams.iter().any(Vec::is_empty) {
        return Verdict::CouldNotRun;
    }
    let mut n_mixed = 0;
    for (number, events) in streams.iter().enumerate() {
        let version = |it: &Event| it.1.split(' ').next().unwrap_or("").to_owned();
        let first = version(&events[0]);
        let other = events.iter().find(|it| version(it) != first);
        let shown = match other {
            Some((id, _)) => format!("{first}, another version from event {id} on"),
            None => first,
        };
        n_mixed += usize::from(other.is_some());
        world.record.line(&format!("stream {number} has {} events of {shown}", events.len()));
    }
    world.record.line(&format!("{n_mixed} streams hold events of two versions"));
    if 2 < n_mixed { Verdict::Broken } else { Verdict::Held }
}
