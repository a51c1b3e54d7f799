//! A part of a prompt crashes each replica that begins to write an answer on it.
//!
//! [`run_session`]: sound requests of the same session come at one node, with a lull of some seconds. LOST: "From 2 x
//! contactMs after the fifth crash (the last, if there are fewer), while such requests still come, sound requests of their
//! route with the same key or first part begin at the first attempt less than half as often as outside unplanned impairment
//! (20 or more of each, at machines in touch ...)."
//!
//! [`run_forgotten`]: all nodes are killed at the same moment, some time later. BUDGET: "More than three requests with a
//! part that crashes replicas, new ones or repeats, reach replicas, sent by machines in touch later than contactMs after
//! the fifth crash."

use std::{
    collections::HashSet,
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    http::{self, Call},
    replica::{Options, Replica, Work},
    site::{HOST, KEY, Site, describe},
};

const N_REPLICAS: usize = 8;
const ZONES: [&str; 4] = ["trapani", "agrigento", "ragusa", "enna"];
/// Parts of the prompts: the first is common to all, the second is that of a subject.
const FIRST_PART: &str = "5c1e07a2";
const SOUND_PART: &str = "91bd3f06";
const CRASHING_PART: &str = "dead0bad";
const WORK: Work = Work { n_events: 4, interval_ms: 100 };
const BAD_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time after which a replica that has crashed is back.
const DOWN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Times since the traffic began.
const BAD_FROM: Duration = Duration::from_secs(10);
const END: Duration = Duration::from_secs(50);
const SOUND_INTERVAL: Duration = Duration::from_millis(250);
/// Time in which no sound request is sent.
const LULL: (Duration, Duration) = (Duration::from_secs(7), Duration::from_secs(19));
const LIMIT: Duration = Duration::from_secs(3);

/// Times of [`run_forgotten`] since the traffic began.
const RARE_BAD_FROM: Duration = Duration::from_secs(5);
const RARE_BAD_INTERVAL: Duration = Duration::from_millis(4_000);
const HERD_KILL: Duration = Duration::from_millis(28_500);
const RARE_END: Duration = Duration::from_secs(60);
/// Time for which the killed processes are down.
const HERD_DOWN: Duration = Duration::from_millis(1_000);
/// Number of requests with the crashing part that may still reach replicas.
const N_BAD_ALLOWED: usize = 3;

struct Sound {
    at: Instant,
    id: String,
    status: u16,
}

/// The sound requests and those with the crashing part belong to one session, which uses one node.
pub fn run_session(mut site: Site, has_trouble: bool) -> io::Result<Verdict> {
    let mut replicas = Vec::new();
    for idx in 0..N_REPLICAS {
        replicas.push((options(&format!("i-{idx}-0"), idx), 0));
    }
    let mut running: Vec<Arc<Replica>> = Vec::new();
    for (options, _) in &replicas {
        running.push(site.add_replica(options)?);
    }
    site.put_config(1, &config());
    for zone in [0, 0, 1, 2, 3] {
        site.add_node(zone, false)?;
    }
    if !site.until_ready(Duration::from_secs(15)) {
        return Ok(Verdict::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(10));
    let began = Instant::now();
    let nodes: Vec<_> = site.nodes.iter().map(|it| it.path.address).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let sounds: Arc<Mutex<Vec<Sound>>> = Arc::default();
    let sender = {
        let (record, node, sounds) = (site.record.clone(), nodes[0], sounds.clone());
        let is_over = is_over.clone();
        thread::spawn(move || {
            let mut idx = 0;
            while !is_over.load(Ordering::SeqCst) {
                let at = began.elapsed();
                if (LULL.0..LULL.1).contains(&at) {
                    thread::sleep(LULL.1 - at);
                }
                let id = format!("50{idx:06x}00000001");
                let text = format!("excerpt {idx}");
                let (record, sounds) = (record.clone(), sounds.clone());
                thread::spawn(move || {
                    let at = Instant::now();
                    let answer = http::call(node, &call(&id, &[SOUND_PART], &text));
                    record.write_at(
                        at,
                        &format!("sound request {id} ({text}): {}", describe(&answer)),
                    );
                    sounds.lock().unwrap().push(Sound { at, id, status: answer.status });
                });
                idx += 1;
                thread::sleep(SOUND_INTERVAL);
            }
        })
    };
    let mut crashes = Vec::new();
    let mut bad = 0;
    let mut next_bad = began + BAD_FROM;
    let mut n_starts = 1;
    let mut down: Vec<(usize, Instant)> = Vec::new();
    while Instant::now() < began + END {
        if next_bad <= Instant::now() {
            next_bad += BAD_INTERVAL;
            let id = format!("b0{bad:06x}00000001");
            let part = if has_trouble { CRASHING_PART } else { "c0ffee01" };
            let (record, node) = (site.record.clone(), nodes[bad % nodes.len()]);
            let text = format!("another {bad}");
            thread::spawn(move || {
                let answer = http::call(node, &call(&id, &[part, SOUND_PART], &text));
                record.write(&format!("request {id} with part {part}: {}", describe(&answer)));
            });
            bad += 1;
        }
        for idx in 0..running.len() {
            let crashed_at = *running[idx].crashed_at.lock().unwrap();
            if let Some(at) = crashed_at
                && !down.iter().any(|it| it.0 == idx)
            {
                site.record.write_at(at, &format!("replica {} crashes", replicas[idx].0.id));
                crashes.push(at);
                down.push((idx, at));
            }
        }
        if let Some(position) = down.iter().position(|it| it.1 + DOWN <= Instant::now()) {
            let (idx, _) = down.remove(position);
            replicas[idx].0 = options(&format!("i-{idx}-{n_starts}"), idx);
            n_starts += 1;
            running[idx] = site.add_replica(&replicas[idx].0)?;
        }
        thread::sleep(Duration::from_millis(10));
    }
    is_over.store(true, Ordering::SeqCst);
    let _ = sender.join();
    thread::sleep(LIMIT);
    let begun: HashSet<String> = site.runs.lock().unwrap().iter().map(|it| it.id.clone()).collect();
    for run in site.runs.lock().unwrap().iter() {
        site.record.write_at(run.at, &format!("replica {} runs {}", run.replica, run.id));
    }
    let judged_from = match crashes.get(4).or(crashes.last()) {
        Some(at) => *at + 2 * CONTACT,
        None => began + BAD_FROM + 2 * CONTACT,
    };
    let sounds = sounds.lock().unwrap();
    let share = |from: Instant, to: Instant| {
        let counted: Vec<_> = sounds.iter().filter(|it| from <= it.at && it.at < to).collect();
        let n_begun = counted.iter().filter(|it| begun.contains(&it.id)).count();
        let n_500 = counted.iter().filter(|it| it.status == 500).count();
        (counted.len(), n_begun, n_500)
    };
    let (n_before, begun_before, _) = share(began, began + BAD_FROM);
    let (n_after, begun_after, n_500) = share(judged_from, began + END);
    let text = format!(
        "{} crashes; sound requests before: {n_before}, of which {begun_before} began; after: {n_after}, of which \
         {begun_after} began and {n_500} got 500",
        crashes.len()
    );
    site.record.write(&text);
    println!("{text}");
    if n_before < 20 || n_after < 20 || (has_trouble && crashes.is_empty()) {
        return Ok(Verdict::CouldNotRun);
    }
    let share_before = begun_before as f64 / n_before as f64;
    let share_after = begun_after as f64 / n_after as f64;
    let is_broken = share_after < share_before / 2.0;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// All nodes are killed at the same moment after the part is known to crash replicas.
pub fn run_forgotten(mut site: Site, has_trouble: bool) -> io::Result<Verdict> {
    let mut running: Vec<(String, Arc<Replica>)> = Vec::new();
    for idx in 0..N_REPLICAS {
        let id = format!("i-{idx}-0");
        running.push((id.clone(), site.add_replica(&options(&id, idx))?));
    }
    site.put_config(1, &config());
    for zone in [0, 0, 1, 1, 2, 2, 3] {
        site.add_node(zone, false)?;
    }
    if !site.until_ready(Duration::from_secs(15)) {
        return Ok(Verdict::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(10));
    let began = Instant::now();
    let nodes: Vec<_> = site.nodes.iter().map(|it| it.path.address).collect();
    let mut crashes: Vec<Instant> = Vec::new();
    let mut down: Vec<(usize, Instant)> = Vec::new();
    let (mut n_bad, mut n_sound, mut n_starts) = (0, 0, 1);
    let (mut killed_at, mut restarted_at) = (None, None);
    let of_clients = site.record.clone();
    let send = |id: String, parts: &'static [&'static str], node| {
        let record = of_clients.clone();
        thread::spawn(move || {
            let answer = http::call(node, &call(&id, parts, &id));
            record.write(&format!("request {id} with parts {parts:?}: {}", describe(&answer)));
        });
    };
    while began.elapsed() < RARE_END {
        if RARE_BAD_FROM + RARE_BAD_INTERVAL * n_bad <= began.elapsed() {
            let node = nodes[n_bad as usize % nodes.len()];
            send(format!("b0{n_bad:06x}00000001"), &[CRASHING_PART], node);
            n_bad += 1;
        }
        if Duration::from_millis(200) * n_sound <= began.elapsed() {
            let node = nodes[n_sound as usize % nodes.len()];
            send(format!("50{n_sound:06x}00000001"), &[SOUND_PART], node);
            n_sound += 1;
        }
        if has_trouble && killed_at.is_none() && HERD_KILL <= began.elapsed() {
            killed_at = Some(Instant::now());
            (0..site.nodes.len()).for_each(|idx| site.kill(idx));
        }
        if let Some(at) = killed_at
            && restarted_at.is_none()
            && at + HERD_DOWN <= Instant::now()
        {
            (0..site.nodes.len()).try_for_each(|idx| site.restart(idx))?;
            restarted_at = Some(Instant::now());
        }
        for (idx, (id, replica)) in running.iter().enumerate() {
            let crashed_at = *replica.crashed_at.lock().unwrap();
            if let Some(at) = crashed_at
                && !down.iter().any(|it| it.0 == idx)
            {
                site.record.write_at(at, &format!("replica {id} crashes"));
                crashes.push(at);
                down.push((idx, at));
            }
        }
        if let Some(position) = down.iter().position(|it| it.1 + DOWN <= Instant::now()) {
            let (idx, _) = down.remove(position);
            let id = format!("i-{idx}-{n_starts}");
            n_starts += 1;
            running[idx] = (id.clone(), site.add_replica(&options(&id, idx))?);
        }
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(LIMIT);
    let runs = site.runs.lock().unwrap();
    for run in runs.iter() {
        site.record.write_at(run.at, &format!("replica {} runs {}", run.replica, run.id));
    }
    let Some(fifth) = crashes.get(4).copied().filter(|it| *it + CONTACT < began + HERD_KILL) else {
        println!("{} crashes", crashes.len());
        return Ok(if has_trouble { Verdict::CouldNotRun } else { Verdict::Held });
    };
    let is_in_touch = |at: Instant| match (killed_at, restarted_at) {
        (Some(from), Some(to)) => at < from || to + CONTACT <= at,
        _ => true,
    };
    let is_counted = |at: Instant| fifth + CONTACT <= at && is_in_touch(at);
    let n_counted = runs.iter().filter(|it| it.id.starts_with("b0") && is_counted(it.at)).count();
    let text = format!(
        "{} crashes; {n_bad} requests with the crashing part sent; later than contactMs after the fifth crash, {n_counted} \
         reached replicas from nodes in touch",
        crashes.len()
    );
    site.record.write(&text);
    println!("{text}");
    Ok(if N_BAD_ALLOWED < n_counted { Verdict::Broken } else { Verdict::Held })
}

fn options(id: &str, idx: usize) -> Options {
    Options {
        id: id.to_owned(),
        service: "huvo11a",
        zone: ZONES[idx % ZONES.len()],
        version: "v1",
        slots: 64,
        work: WORK,
        short: None,
        crashing_part: Some(CRASHING_PART),
    }
}

fn call(id: &str, parts: &[&str], text: &str) -> Call {
    let end = Instant::now() + LIMIT;
    let parts: Vec<_> = parts.iter().map(|it| format!("{it}:227,")).collect();
    Call {
        method: "POST",
        path: "/lohu930/2f".to_owned(),
        headers: vec![
            ("Host", HOST.to_owned()),
            ("X-Attempt-Id", id.to_owned()),
            ("X-Model", "m".to_owned()),
            ("X-Token-Usage", "1800,20".to_owned()),
            ("X-Prompt-Prefix", format!("{FIRST_PART}:341,{}{}:1232", parts.concat(), &id[..8])),
            ("X-Deadline-Ms", LIMIT.as_millis().to_string()),
            ("Authorization", format!("Bearer {KEY}")),
        ],
        body: text.as_bytes().to_vec(),
        deadline: end,
        gap: LIMIT,
        leave_at: None,
    }
}

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"lohu930\",\"host\":\"{HOST}\",\"pathPrefix\":\"/lohu930/\",\
         \"routeKind\":\"streaming\",\"timeoutMs\":3000,\"ttftTargetMs\":600,\"priority\":2,\
         \"service\":\"huvo11a\",\"attempts\":2,\"anonymous\":false,\"sticky\":true,\"resumable\":true,\
         \"itlTargetMs\":500}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"healthPath\":\"/health\",\"maxConns\":360,\
         \"engine\":{{\"slots\":64,\"kvCapacity\":595208,\"moves\":false,\"backups\":false}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":2,\"unit\":\"token_count\",\
         \"uncachedTokens\":200,\"ratePerS\":1000000,\"burst\":1000000}}]}}"
    )
}
