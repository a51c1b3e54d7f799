//! A look-up that many requesters make is in progress when replicas crash, one now and then.

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
    SERVICE, Verdict, World,
    client::{HOST, look_up},
    config_of,
    replica::{Replica, Settings},
    replicas,
};

const N_REPLICAS: usize = 4;
/// Path of the look-up that many make, on the route that is added later. The others differ.
const POPULAR_PATH: &str = "/status/2f";
const POPULAR_INTERVAL: Duration = Duration::from_millis(30);
const OTHER_INTERVAL: Duration = Duration::from_millis(60);
const TIME_LIMIT: Duration = Duration::from_secs(3);
/// When the route is added, the crashes begin, and the end.
const ADDED_S: f64 = 2.0;
const FIRST_CRASH_S: f64 = 10.0;
const END_S: f64 = 50.0;
const N_CRASHES: usize = 6;
const CRASH_INTERVAL_S: f64 = 3.5;
const REPLICA_DOWN: Duration = Duration::from_secs(2);
/// Time after the last crash from which the state counts as steady: the replica is back, and the contact time has passed.
const STEADY_AFTER_S: f64 = 6.0;

/// A request: when it was sent, and whether it was served.
type Seen = (f64, bool);

fn route(name: &str, prefix: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"{prefix}","routeKind":"idempotent","timeoutMs":1500,"ttftTargetMs":300,"priority":2,"service":"{SERVICE}","attempts":2,"anonymous":false}}"#
    )
}

pub fn play(record_path: &Path) -> Verdict {
    let settings = replicas(N_REPLICAS, "v1", 0);
    let Some((world, initial)) = World::start(record_path, 4, &settings) else {
        return Verdict::CouldNotRun;
    };
    let first = route("r-orders", "/orders/");
    world.store.write("keyed.op", "config", &config_of(2, &[first.clone()], ""));
    thread::sleep(Duration::from_secs(4));
    let start = Instant::now();
    let serving = Mutex::new(initial);
    let (popular, other) = (Mutex::<Vec<Seen>>::default(), Mutex::<Vec<Seen>>::default());
    let is_over = AtomicBool::new(false);
    let (world, serving, is_over) = (&world, &serving, &is_over);
    let (popular_seen, other_seen) = (&popular, &other);
    let mut last_crash_s = None;
    thread::scope(|scope| {
        let ask = move |is_popular: bool, interval: Duration, seen: &'static str| {
            for number in 0_usize.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let at_s = start.elapsed().as_secs_f64();
                if !is_popular || ADDED_S + 2.0 < at_s {
                    scope.spawn(move || {
                        let id = format!("{number:04x}{seen}{:011x}", 0);
                        let path = if is_popular {
                            POPULAR_PATH.to_owned()
                        } else {
                            format!("/orders/{number}")
                        };
                        let machine = world.rotation.machine(number);
                        let status = look_up(machine, &id, &path, TIME_LIMIT, &world.record);
                        let seen = if is_popular { popular_seen } else { other_seen };
                        seen.lock().unwrap().push((at_s, status == Some(200)));
                    });
                }
                thread::sleep(interval);
            }
        };
        scope.spawn(move || ask(true, POPULAR_INTERVAL, "a"));
        scope.spawn(move || ask(false, OTHER_INTERVAL, "b"));
        let wait_until = |seconds: f64| {
            thread::sleep(Duration::from_secs_f64(seconds).saturating_sub(start.elapsed()));
        };
        wait_until(ADDED_S);
        let both = [first, route("r-status", "/status/")];
        world.store.write("keyed.op", "config", &config_of(3, &both, ""));
        world.record.line("the configuration 3 adds a route");
        if world.trouble != "0" {
            for number in 0..N_CRASHES {
                wait_until(FIRST_CRASH_S + CRASH_INTERVAL_S * number as f64);
                crash_busy(&serving.lock().unwrap());
                last_crash_s = Some(start.elapsed().as_secs_f64());
                scope.spawn(move || replace_crashed(world, serving));
            }
        }
        wait_until(END_S);
        is_over.store(true, Ordering::SeqCst);
    });
    judge(world, &popular.lock().unwrap(), &other.lock().unwrap(), last_crash_s)
}

/// Crashes a replica that has a request, whichever.
fn crash_busy(serving: &[Arc<Replica>]) {
    let until = Instant::now() + Duration::from_secs(1);
    while Instant::now() < until {
        if let Some(it) = serving.iter().find(|it| it.n_running.load(Ordering::SeqCst) != 0) {
            it.crash("it is killed");
            return;
        }
        thread::sleep(Duration::from_millis(2));
    }
}

/// Starts another replica in place of one that has crashed, after some time.
fn replace_crashed(world: &World, serving: &Mutex<Vec<Arc<Replica>>>) {
    thread::sleep(REPLICA_DOWN);
    let mut serving = serving.lock().unwrap();
    let crashed = serving.iter().position(|it| it.has_ended.load(Ordering::SeqCst));
    if let Some(position) = crashed {
        let settings: Settings = serving.remove(position).settings.clone();
        serving.push(Replica::start(settings, &world.store, &world.record));
    }
}

fn judge(world: &World, popular: &[Seen], other: &[Seen], last_crash_s: Option<f64>) -> Verdict {
    let share = |seen: &[Seen], from_s: f64, to_s: f64| {
        let sent: Vec<_> = seen.iter().filter(|it| from_s <= it.0 && it.0 < to_s).collect();
        let n_served = sent.iter().filter(|it| it.1).count();
        (sent.len(), n_served as f64 / sent.len().max(1) as f64)
    };
    let before = share(popular, 0.0, FIRST_CRASH_S);
    let from_s = last_crash_s.map_or(FIRST_CRASH_S, |it| it + STEADY_AFTER_S);
    let (added, first) = (share(popular, from_s, END_S - 1.0), share(other, from_s, END_S - 1.0));
    world.record.line(&format!(
        "before the crashes, {:.2} of {} requests on the route that was added were served",
        before.1, before.0
    ));
    world.record.line(&format!(
        "in steady state, from {from_s:.1} s on, {:.2} of {} requests on the route that was added were served, and {:.2} of {} \
         on the first route",
        added.1, added.0, first.1, first.0
    ));
    if before.0 < 20 || before.1 < 0.5 || first.0 < 20 || first.1 < 0.5 {
        return Verdict::CouldNotRun;
    }
    if 20 <= added.0 && added.1 < first.1 / 4.0 { Verdict::Broken } else { Verdict::Held }
}
