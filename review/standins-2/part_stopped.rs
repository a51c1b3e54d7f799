//! A part of a prompt crashes the replicas that begin to answer on it. It is followed by a part that sound requests share.
//! The streams of the service end with their connections.

use std::{
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict, World,
    client::{Attempt, send},
    replica::{Replica, Settings},
    replicas,
};

const N_REPLICAS: usize = 6;
const EVENT_INTERVAL_MS: u64 = 200;
const N_EVENTS: u64 = 8;
const DEADLY_PART: &str = "dead0001";
/// Parts that all requests share, before and after that part or the part of a session.
const FIRST_PART: &str = "5c1e07a2:120";
const LATER_PART: &str = "7e30a11e:60";
/// Interval between sound requests, and between those with the deadly part.
const SOUND_INTERVAL: Duration = Duration::from_millis(170);
const DEADLY_INTERVAL: Duration = Duration::from_millis(2_500);
/// When the first request with the deadly part comes, and the end.
const DEADLY_S: f64 = 12.0;
const END_S: f64 = 48.0;
/// Time after which a replica that has crashed is back.
const REPLICA_DOWN: Duration = Duration::from_secs(3);
const CONTACT_S: f64 = 3.0;
const TIME_LIMIT: Duration = Duration::from_secs(15);

/// The replicas that serve, each replaced by another one some time after its crash.
struct Pool {
    world: Arc<Shared>,
    serving: Mutex<Vec<Arc<Replica>>>,
    /// When replicas have crashed on the deadly part.
    crashes_s: Mutex<Vec<f64>>,
}

/// Parts of the world that replicas need to start.
struct Shared {
    store: Arc<crate::store::Store>,
    record: Arc<crate::record::Record>,
    start: Instant,
}

impl Pool {
    fn add(self: &Arc<Self>, settings: Settings) {
        let replica = Replica::start(settings.clone(), &self.world.store, &self.world.record);
        self.watch(&replica);
        self.serving.lock().unwrap().push(replica);
    }

    fn watch(self: &Arc<Self>, replica: &Arc<Replica>) {
        let (pool, settings, id) = (self.clone(), replica.settings.clone(), replica.id.clone());
        replica.set_on_crash(move || {
            pool.crashes_s.lock().unwrap().push(pool.world.start.elapsed().as_secs_f64());
            thread::spawn(move || {
                pool.serving.lock().unwrap().retain(|it| it.id != id);
                thread::sleep(REPLICA_DOWN);
                pool.add(settings);
            });
        });
    }
}

/// A sound request: when it was sent, and whether it began at its first attempt.
type Sound = (f64, bool);

fn play_world(world: &World, initial: Vec<Arc<Replica>>) -> Verdict {
    let start = Instant::now();
    let shared = Shared { store: world.store.clone(), record: world.record.clone(), start };
    let pool = Arc::new(Pool {
        world: Arc::new(shared),
        serving: Mutex::new(initial),
        crashes_s: Mutex::default(),
    });
    pool.serving.lock().unwrap().iter().for_each(|it| pool.watch(it));
    let sound: Mutex<Vec<Sound>> = Mutex::default();
    let is_over = AtomicBool::new(false);
    let (sound_seen, is_over) = (&sound, &is_over);
    thread::scope(|scope| {
        scope.spawn(move || {
            for number in 0_usize.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                scope.spawn(move || {
                    let id = format!("{number:04x}d{:011x}", 0);
                    let session = number % 20;
                    let parts = format!(
                        "{FIRST_PART},5e55{session:04x}:80,{LATER_PART},{number:04x}ffff:250"
                    );
                    let at_s = start.elapsed().as_secs_f64();
                    let mut has_begun = false;
                    let attempt = Attempt {
                        id: &id,
                        path: "/stream/2f",
                        parts: &parts,
                        n_events: N_EVENTS,
                        remaining: TIME_LIMIT,
                        resumes: None,
                    };
                    let machine = world.rotation.machine(number);
                    send(machine, &attempt, &world.record, |_| has_begun = true);
                    sound_seen.lock().unwrap().push((at_s, has_begun));
                });
                thread::sleep(SOUND_INTERVAL);
            }
        });
        let wait_until = |seconds: f64| {
            thread::sleep(Duration::from_secs_f64(seconds).saturating_sub(start.elapsed()));
        };
        if world.trouble != "0" {
            wait_until(DEADLY_S);
            for number in 0_usize.. {
                if END_S - 1.0 < start.elapsed().as_secs_f64() {
                    break;
                }
                let id = format!("{number:04x}e{:011x}", 0);
                let parts =
                    format!("{FIRST_PART},{DEADLY_PART}:80,{LATER_PART},{number:04x}eeee:250");
                let attempt = Attempt {
                    id: &id,
                    path: "/stream/2f",
                    parts: &parts,
                    n_events: N_EVENTS,
                    remaining: TIME_LIMIT,
                    resumes: None,
                };
                let sent = Instant::now();
                send(world.rotation.machine(number), &attempt, &world.record, |_| {});
                thread::sleep(DEADLY_INTERVAL.saturating_sub(sent.elapsed()));
            }
        }
        wait_until(END_S);
        is_over.store(true, Ordering::SeqCst);
    });
    judge(world, &sound.lock().unwrap(), &pool.crashes_s.lock().unwrap())
}

fn judge(world: &World, sound: &[Sound], crashes_s: &[f64]) -> Verdict {
    let share = |from_s: f64, to_s: f64| {
        let sent: Vec<_> = sound.iter().filter(|it| from_s <= it.0 && it.0 < to_s).collect();
        let n_begun = sent.iter().filter(|it| it.1).count();
        (sent.len(), n_begun as f64 / sent.len().max(1) as f64)
    };
    let (n_before, share_before) = share(0.0, DEADLY_S);
    let line =
        format!("of {n_before} sound requests before the disruption {share_before:.2} began");
    world.record.line(&line);
    if n_before < 20 || share_before < 0.5 {
        return Verdict::CouldNotRun;
    }
    let Some(last_s) = crashes_s.get(4).or(crashes_s.last()) else {
        world.record.line("no replica crashed on the deadly part");
        return Verdict::Held;
    };
    let (n_after, share_after) = share(last_s + 2.0 * CONTACT_S, END_S - 2.0);
    world.record.line(&format!(
        "{} replicas crashed on the deadly part, the fifth or last at {last_s:.1} s; of {n_after} sound requests from \
         {:.1} s on {share_after:.2} began",
        crashes_s.len(),
        last_s + 2.0 * CONTACT_S
    ));
    if 20 <= n_after && share_after < share_before / 2.0 {
        return Verdict::Broken;
    }
    Verdict::Held
}

pub fn play(record_path: &Path) -> Verdict {
    let is_framed = std::env::var("FRAMED").is_ok_and(|it| it == "1");
    let settings = replicas(N_REPLICAS, "v1", EVENT_INTERVAL_MS).into_iter().map(|it| Settings {
        is_framed,
        deadly_part: Some(DEADLY_PART.to_owned()),
        ..it
    });
    let started = World::start(record_path, 4, &settings.collect::<Vec<_>>());
    let Some((world, initial)) = started else { return Verdict::CouldNotRun };
    play_world(&world, initial)
}
