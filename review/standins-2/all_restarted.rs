//! All processes are killed at the same moment, and requesters take their streams up again when the machines are back.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, World,
    client::{Attempt, End, send},
    replicas,
};

const N_STREAMS: usize = 24;
const N_EVENTS: u64 = 32;
const EVENT_INTERVAL_MS: u64 = 200;
const TIME_LIMIT: Duration = Duration::from_secs(15);
/// Waits of a requester before its tries after the first.
const RETRY_WAITS: [Duration; 3] =
    [Duration::from_secs(1), Duration::from_secs(2), Duration::from_secs(4)];
/// Time after which the processes are started again, as on the users' days.
const DOWN: Duration = Duration::from_millis(1_100);
const CONTACT: Duration = Duration::from_millis(3_000);

/// What a requester has seen of its stream.
#[derive(Default)]
struct Stream {
    has_begun: bool,
    /// Whether it was taken up at a machine in touch, and whether it went on there.
    is_taken_up: bool,
    goes_on: bool,
}

/// Plays one requester with its tries.
fn request(world: &World, number: usize, in_touch_from: &Mutex<Option<Instant>>) -> Stream {
    let start = Instant::now();
    let first_id = format!("{number:04x}a{:011x}", 0);
    let mut result = Stream::default();
    let mut last_event = None;
    for n_try in 0..=RETRY_WAITS.len() {
        let Some(remaining) = TIME_LIMIT.checked_sub(start.elapsed()) else { break };
        let id = format!("{number:04x}a{n_try:011x}");
        let machine = world.rotation.machine(number + n_try);
        let is_in_touch = in_touch_from.lock().unwrap().is_some_and(|it| it <= Instant::now());
        let parts = format!("5c1e07a2:120,{number:08x}:80,{number:04x}ffff:250");
        let resumes = last_event.map(|it| (first_id.as_str(), it));
        let attempt = Attempt {
            id: &id,
            path: "/stream/2f",
            parts: &parts,
            n_events: N_EVENTS,
            remaining,
            resumes,
        };
        let previous = last_event;
        let end = send(machine, &attempt, &world.record, |(event, _)| last_event = Some(event));
        result.has_begun |= last_event.is_some();
        if resumes.is_some() && is_in_touch && end != End::NoConnection {
            result.is_taken_up = true;
            result.goes_on |= last_event != previous;
        }
        let asked = match end {
            End::Complete => return result,
            End::Status(_, wait) => wait.unwrap_or_default(),
            _ => Duration::ZERO,
        };
        thread::sleep(RETRY_WAITS.get(n_try).copied().unwrap_or_default().max(asked));
    }
    result
}

/// Plays requesters at the same time, and returns what they have seen.
fn requests(world: &World, first: usize, in_touch_from: &Mutex<Option<Instant>>) -> Vec<Stream> {
    thread::scope(|scope| {
        let spawn = |number| scope.spawn(move || request(world, number, in_touch_from));
        let all: Vec<_> = (first..first + N_STREAMS).map(spawn).collect();
        all.into_iter().map(|it| it.join().unwrap()).collect()
    })
}

pub fn play(record_path: &Path) -> Verdict {
    let started = World::start(record_path, 4, &replicas(3, "v1", EVENT_INTERVAL_MS));
    let Some((mut world, _replicas)) = started else { return Verdict::CouldNotRun };
    thread::sleep(CONTACT + Duration::from_secs(1));
    let in_touch_from = Mutex::new(Some(Instant::now()));
    let n_killed = match world.trouble.as_str() {
        "0" => 0,
        "part" => world.machines.all.len() / 2,
        _ => world.machines.all.len(),
    };
    let machines = Arc::new(Mutex::new(std::mem::take(&mut world.machines.all)));
    let (world, in_touch_from) = (&world, &in_touch_from);
    let (cut, new) = thread::scope(|scope| {
        let killing = machines.clone();
        let record = world.record.clone();
        let cut = scope.spawn(move || requests(world, 0, in_touch_from));
        thread::sleep(Duration::from_secs(2));
        if 0 < n_killed {
            let mut machines = killing.lock().unwrap();
            machines.iter_mut().take(n_killed).for_each(|it| it.kill(&record));
            thread::sleep(DOWN);
            if n_killed == machines.len() {
                *in_touch_from.lock().unwrap() = Some(Instant::now() + CONTACT);
            }
            machines.iter_mut().take(n_killed).for_each(|it| it.start(false, &record));
            // Others begin new streams while the streams that were cut are taken up.
            thread::sleep(CONTACT + Duration::from_millis(1_500));
        }
        let new = scope.spawn(move || requests(world, 1_000, in_touch_from));
        (cut.join().unwrap(), new.join().unwrap())
    });
    machines.lock().unwrap().iter_mut().for_each(|it| it.kill(&world.record));
    let share = |n: usize, all: usize| if all == 0 { 1.0 } else { n as f64 / all as f64 };
    let n_begun = new.iter().filter(|it| it.has_begun).count();
    let n_taken_up = cut.iter().filter(|it| it.is_taken_up).count();
    let n_gone_on = cut.iter().filter(|it| it.goes_on).count();
    world.record.line(&format!(
        "of {} new streams at machines in touch {n_begun} began; of {n_taken_up} streams taken up there {n_gone_on} went on",
        new.len()
    ));
    if share(n_begun, new.len()) < 0.5 || cut.iter().any(|it| !it.has_begun) {
        return Verdict::CouldNotRun;
    }
    if 12 <= n_taken_up && share(n_gone_on, n_taken_up) < share(n_begun, new.len()) / 2.0 {
        return Verdict::Broken;
    }
    Verdict::Held
}
