//! Streams are taken up after a node was killed, while a service is moved to a new version and both versions still serve.
//!
//! LOST: "Of 12 or more streams that requesters take up again at machines in touch, while two replicas of their software
//! version serve, the share that goes on is under half of the share of new streams that begin."

use std::{
    collections::HashMap,
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
    http::{self, Call, End},
    replica::{Options, Work},
    site::{HOST, KEY, Record, Site, describe},
};

const SERVICE: &str = "huvo11a";
const ZONES: [&str; 4] = ["trapani", "agrigento", "ragusa", "enna"];
/// Long and short streams, on routes of their own. A client's time limit is that of its route.
const LONG: Kind = Kind { prefix: "/lohu930/", limit: Duration::from_secs(10) };
const SHORT: Kind = Kind { prefix: "/puxa403/", limit: Duration::from_millis(2_500) };
const N_EVENTS: u64 = 36;
const N_EVENTS_SHORT: u64 = 4;
const INTERVAL_MS: u64 = 200;
const LONG_INTERVAL: Duration = Duration::from_millis(250);
const SHORT_INTERVAL: Duration = Duration::from_millis(25);
/// Time for which a killed process is down.
const DOWN: Duration = Duration::from_millis(3_500);
const GAP: Duration = Duration::from_millis(4_000);
/// Duration of the order.
const ORDER: Duration = Duration::from_secs(35);
/// Number of runs in a row at the new version after which the traffic counts as moved.
const N_MOVED: usize = 60;

#[derive(Clone, Copy)]
struct Kind {
    prefix: &'static str,
    limit: Duration,
}

/// A long stream and what became of it.
struct Stream {
    id: String,
    /// Whether it went on, if it was taken up.
    went_on: Option<bool>,
}

pub fn run(mut site: Site, has_trouble: bool) -> io::Result<Verdict> {
    for (idx, zone) in ZONES.into_iter().enumerate() {
        add_replica(&mut site, &format!("i-old-{idx}"), zone, "v1")?;
    }
    site.put_config(1, &config());
    for zone in [0, 0, 1, 1, 2, 2, 3] {
        site.add_node(zone, true)?;
    }
    if !site.until_ready(Duration::from_secs(15)) {
        return Ok(Verdict::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(10));
    let nodes: Vec<_> = site.nodes.iter().map(|it| it.path.address).collect();
    let others = nodes[1..].to_vec();
    let is_over = Arc::new(AtomicBool::new(false));
    let are_long_over = Arc::new(AtomicBool::new(false));
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
    let fresh: Arc<Mutex<Vec<(Instant, bool)>>> = Arc::default();
    let long_sender = {
        let (record, others, streams) = (site.record.clone(), others.clone(), streams.clone());
        let (first, is_over) = (nodes[0], are_long_over.clone());
        thread::spawn(move || {
            let mut threads = Vec::new();
            for idx in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    break;
                }
                let (record, others, streams) = (record.clone(), others.clone(), streams.clone());
                threads.push(thread::spawn(move || {
                    let stream = long_stream(idx, first, &others, &record);
                    streams.lock().unwrap().push(stream);
                }));
                thread::sleep(LONG_INTERVAL);
            }
            threads.into_iter().for_each(|it| drop(it.join()));
        })
    };
    let short_sender = {
        let (others, fresh, is_over) = (others.clone(), fresh.clone(), is_over.clone());
        thread::spawn(move || {
            for idx in 0_usize.. {
                if is_over.load(Ordering::SeqCst) {
                    break;
                }
                let (node, fresh) = (others[idx % others.len()], fresh.clone());
                thread::spawn(move || {
                    let at = Instant::now();
                    let id = format!("50{idx:06x}00000001");
                    let answer = http::call(node, &call(SHORT, &id, at + SHORT.limit));
                    fresh.lock().unwrap().push((at, !answer.event_ids().is_empty()));
                });
                thread::sleep(SHORT_INTERVAL);
            }
        })
    };
    thread::sleep(Duration::from_secs(5));
    for (idx, zone) in ZONES.into_iter().enumerate() {
        add_replica(&mut site, &format!("i-new-{idx}"), zone, "v2")?;
    }
    thread::sleep(Duration::from_secs(2));
    let order =
        format!("{{\"service\":\"{SERVICE}\",\"to\":\"v2\",\"durationS\":{}}}", ORDER.as_secs());
    let key = format!("rollout/{SERVICE}");
    site.store.put("keyed.op", &key, &order);
    site.record.write(&format!("order written: {order}"));
    // The traffic has moved when the last runs were all at the new version.
    let ordered_at = Instant::now();
    let moved = loop {
        thread::sleep(Duration::from_millis(50));
        let runs = site.runs.lock().unwrap();
        let first_runs = runs.iter().rev().filter(|it| it.first_event == 1).take(N_MOVED);
        if first_runs.filter(|it| it.replica.starts_with("i-new")).count() == N_MOVED {
            break true;
        }
        if ORDER < ordered_at.elapsed() {
            break false;
        }
    };
    let status = site.store.get("keyed.status", &key);
    site.record.write(&format!("traffic has moved: {moved}, status {status}"));
    are_long_over.store(true, Ordering::SeqCst);
    let killed_at = Instant::now();
    if !moved || !status.contains("in_progress") {
        is_over.store(true, Ordering::SeqCst);
        return Ok(Verdict::CouldNotRun);
    }
    if has_trouble {
        site.kill(0);
    }
    thread::sleep(DOWN);
    if has_trouble {
        site.restart(0)?;
    }
    thread::sleep(Duration::from_secs(2));
    let status = site.store.get("keyed.status", &key);
    site.record.write(&format!("5.5 s later: status {status}"));
    is_over.store(true, Ordering::SeqCst);
    let judged_until = Instant::now();
    let _ = (long_sender.join(), short_sender.join());
    thread::sleep(SHORT.limit);
    judge(
        &site,
        &streams.lock().unwrap(),
        &fresh.lock().unwrap(),
        (killed_at, judged_until),
        has_trouble,
    )
}

fn judge(
    site: &Site,
    streams: &[Stream],
    fresh: &[(Instant, bool)],
    (from, to): (Instant, Instant),
    has_trouble: bool,
) -> io::Result<Verdict> {
    let runs = site.runs.lock().unwrap();
    let begun_at: HashMap<&str, &str> =
        runs.iter().map(|it| (it.id.as_str(), it.replica.as_str())).collect();
    // Of the streams that the old version has begun, of which four replicas serve.
    let is_old =
        |it: &&Stream| begun_at.get(it.id.as_str()).is_some_and(|it| it.starts_with("i-old"));
    let taken_up: Vec<_> = streams.iter().filter(is_old).filter_map(|it| it.went_on).collect();
    let n_gone_on = taken_up.iter().filter(|it| **it).count();
    let fresh: Vec<_> = fresh.iter().filter(|it| from <= it.0 && it.0 < to).collect();
    let n_begun = fresh.iter().filter(|it| it.1).count();
    for run in runs.iter().filter(|it| it.id.starts_with("10") || from <= it.at) {
        let text =
            format!("replica {} runs {} from event {}", run.replica, run.id, run.first_event);
        site.record.write_at(run.at, &text);
    }
    let text = format!(
        "{} streams of the old version were taken up, {n_gone_on} went on; of {} new ones {n_begun} began",
        taken_up.len(),
        fresh.len()
    );
    site.record.write(&text);
    println!("{text}");
    if !has_trouble {
        return Ok(if taken_up.is_empty() { Verdict::Held } else { Verdict::CouldNotRun });
    }
    if taken_up.len() < 12 || n_begun == 0 {
        return Ok(Verdict::CouldNotRun);
    }
    let share_gone_on = n_gone_on as f64 / taken_up.len() as f64;
    let share_begun = n_begun as f64 / fresh.len() as f64;
    let is_broken = share_gone_on < share_begun / 2.0;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// Sends a long stream to the first node, and takes it up at others, twice at most, if it breaks.
fn long_stream(
    idx: usize,
    first: std::net::SocketAddr,
    others: &[std::net::SocketAddr],
    record: &Record,
) -> Stream {
    let end = Instant::now() + LONG.limit;
    let id = format!("10{idx:06x}00000001");
    let begun = http::call(first, &call(LONG, &id, end));
    record.write(&format!("request {id}: {}", describe(&begun)));
    let mut stream = Stream { id: id.clone(), went_on: None };
    let Some(last) = begun.event_ids().last().copied() else { return stream };
    if begun.end == End::Complete {
        return stream;
    }
    for attempt in 1..=2 {
        let next_id = format!("{}{}", &id[..15], 1 + attempt);
        let mut call = call(LONG, &next_id, end);
        call.headers.push(("Last-Event-Id", last.to_string()));
        call.headers.push(("Resumes", id.clone()));
        let answer = http::call(others[(idx + attempt) % others.len()], &call);
        record
            .write(&format!("request {next_id} takes {id} up after {last}: {}", describe(&answer)));
        stream.went_on = Some(answer.event_ids().first() == Some(&(last + 1)));
        let wait = answer.header("retry-after").and_then(|it| it.parse::<f64>().ok());
        let left = end.saturating_duration_since(Instant::now()).as_secs_f64();
        match wait {
            Some(wait) if stream.went_on == Some(false) && wait <= left / 3.0 => {
                thread::sleep(Duration::from_secs_f64(wait));
            }
            _ => break,
        }
    }
    stream
}

fn call(kind: Kind, id: &str, end: Instant) -> Call {
    let left = end.saturating_duration_since(Instant::now()).as_millis();
    Call {
        method: "POST",
        path: format!("{}2f", kind.prefix),
        headers: vec![
            ("Host", HOST.to_owned()),
            ("X-Attempt-Id", id.to_owned()),
            ("X-Model", "m".to_owned()),
            ("X-Token-Usage", "600,180".to_owned()),
            ("X-Prompt-Prefix", format!("5c1e07a2:200,91bd3f06:200,{}:200", &id[..8])),
            ("X-Deadline-Ms", left.to_string()),
            ("Authorization", format!("Bearer {KEY}")),
        ],
        body: format!("text of {id}").into_bytes(),
        deadline: end,
        gap: GAP,
        leave_at: None,
    }
}

fn add_replica(
    site: &mut Site,
    id: &str,
    zone: &'static str,
    version: &'static str,
) -> io::Result<()> {
    site.add_replica(&Options {
        id: id.to_owned(),
        service: SERVICE,
        zone,
        version,
        slots: 64,
        work: Work { n_events: N_EVENTS, interval_ms: INTERVAL_MS },
        short: Some((SHORT.prefix, N_EVENTS_SHORT)),
        crashing_part: None,
    })?;
    Ok(())
}

fn config() -> String {
    let route = |kind: Kind, priority: u8| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\"routeKind\":\"streaming\",\
             \"timeoutMs\":{timeout},\"ttftTargetMs\":500,\"priority\":{priority},\"service\":\"{SERVICE}\",\
             \"attempts\":2,\"anonymous\":false,\"sticky\":true,\"resumable\":true,\"itlTargetMs\":500}}",
            name = kind.prefix.trim_matches('/'),
            prefix = kind.prefix,
            timeout = kind.limit.as_millis(),
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConns\":560,\
         \"engine\":{{\"slots\":64,\"kvCapacity\":443752,\"moves\":false,\"backups\":false}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"unit\":\"token_count\",\
         \"uncachedTokens\":200,\"ratePerS\":1000000,\"burst\":1000000}}]}}",
        route(LONG, 1),
        route(SHORT, 1)
    )
}
