//! A machine is stopped as planned, and an engine without memory preempts streams of the machine for a while.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, World,
    client::{Attempt, End, send},
    replicas,
};

const N_STREAMS: usize = 32;
const N_EVENTS: u64 = 40;
const EVENT_INTERVAL_MS: u64 = 100;
const TIME_LIMIT: Duration = Duration::from_secs(15);
/// Interval between the requests, and when SIGTERM and the preemption come after the last one.
const SEND_INTERVAL: Duration = Duration::from_millis(10);
const TERM_S: f64 = 1.0;
const PREEMPTED_S: f64 = 1.5;
const N_PREEMPTED: usize = 16;
/// Requesters wait for 4.8 s: four times the objective of 1.2 s, or eight times the pause of 0.6 s.
const PREEMPTION: Duration = Duration::from_secs(3);

pub fn play(record_path: &Path) -> Verdict {
    let started = World::start(record_path, 4, &replicas(2, "v1", EVENT_INTERVAL_MS));
    let Some((world, engines)) = started else { return Verdict::CouldNotRun };
    let (is_term, is_preemption) = match world.trouble.as_str() {
        "0" => (false, false),
        "term" => (true, false),
        _ => (true, true),
    };
    thread::sleep(Duration::from_secs(5));
    let machine = &world.machines.all[0];
    let ends: Vec<(u64, End)> = thread::scope(|scope| {
        let world = &world;
        let spawn = |number: usize| {
            thread::sleep(SEND_INTERVAL);
            scope.spawn(move || {
                let id = format!("{number:04x}f{:011x}", 0);
                let parts = format!("5c1e07a2:120,{number:08x}:80,{number:04x}ffff:250");
                let attempt = Attempt {
                    id: &id,
                    path: "/stream/2f",
                    parts: &parts,
                    n_events: N_EVENTS,
                    remaining: TIME_LIMIT,
                    resumes: None,
                };
                let mut n_events = 0;
                let end = send(machine.frontend, &attempt, &world.record, |_| n_events += 1);
                (n_events, end)
            })
        };
        let all: Vec<_> = (0..N_STREAMS).map(spawn).collect();
        let begin = Instant::now();
        let wait_until = |seconds: f64| {
            thread::sleep(Duration::from_secs_f64(seconds).saturating_sub(begin.elapsed()));
        };
        wait_until(TERM_S);
        if is_term {
            machine.terminate(&world.record);
        }
        wait_until(PREEMPTED_S);
        if is_preemption && let Some(it) = engines.iter().max_by_key(|it| it.n_streams()) {
            it.preempt(N_PREEMPTED, PREEMPTION);
        }
        all.into_iter().map(|it| it.join().unwrap()).collect()
    });
    let n_begun = ends.iter().filter(|it| 0 < it.0).count();
    let n_cut = ends.iter().filter(|it| it.1 != End::Complete).count();
    world
        .record
        .line(&format!("of {n_begun} streams that began, {n_cut} ended without a complete answer"));
    if n_begun < N_STREAMS {
        return Verdict::CouldNotRun;
    }
    if is_term && 0 < n_cut { Verdict::Broken } else { Verdict::Held }
}
