//! Streams are taken up after the node that relayed them has lost power, while a new software version comes into service
//! ([`run`]), or after most nodes were killed while two versions serve ([`run_herd`]).
//!
//! LOST: "Of 12 or more streams that requesters take up again at machines in touch, while two replicas of their software
//! version serve, the share that goes on is under half of the share of new streams that begin."

use std::{
    io,
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    http::{self, Answer, Call, End},
    replica::{Options, Work},
    site::{HOST, KEY, Site, describe},
};

const N_STREAMS: usize = 24;
const N_EVENTS: u64 = 60;
const INTERVAL_MS: u64 = 180;
/// Time limit of a client.
const LIMIT: Duration = Duration::from_secs(15);
/// Objective up to the first event, and longest pause between events.
const OBJECTIVE_MS: u64 = 1_000;
const PAUSE_MS: u64 = 500;
/// Gap after which a client abandons a stream: two seconds, four times the objective or eight times the pause, whichever is
/// longest.
const GAP: Duration = Duration::from_millis(4_000);
/// The node that isn't killed with the others, which is of another zone than the first and not the only one there.
const SURVIVOR: usize = 2;
/// Times since the streams were sent.
const POWER_OFF: Duration = Duration::from_millis(1_500);
const NEW_VERSION: Duration = Duration::from_millis(3_000);
const HERD_KILL: Duration = Duration::from_millis(2_500);
/// Time for which a node is without power, and for which killed processes are down.
const POWERLESS: Duration = Duration::from_millis(3_400);
const DOWN: Duration = Duration::from_millis(1_000);

/// Power loss of one node, and a new version 1.5 s later.
pub fn run(mut site: Site, has_trouble: bool) -> io::Result<Verdict> {
    if !start(&mut site, &["v1"], &[0, 0, 1, 1, 2, 2, 3])? {
        return Ok(Verdict::CouldNotRun);
    }
    let sent_at = Instant::now();
    let others: Vec<_> = site.nodes[1..].iter().map(|it| it.path.address).collect();
    // The clients' channels end at the same time in both runs.
    let take_up_at = sent_at + POWER_OFF + GAP;
    let streams = begin_streams(&site, &others, sent_at, take_up_at);
    sleep_until(sent_at + POWER_OFF);
    if has_trouble {
        site.power_off(0);
    }
    sleep_until(sent_at + NEW_VERSION);
    for (idx, zone) in ["trapani", "agrigento"].into_iter().enumerate() {
        add_replica(&mut site, &format!("i-new-{idx}"), zone, "v2")?;
    }
    sleep_until(sent_at + POWER_OFF + POWERLESS);
    if has_trouble {
        site.restart(0)?;
    }
    sleep_until(take_up_at);
    let fresh = begin_new(&site, &others);
    judge(&site, streams, fresh)
}

/// Six of seven nodes are killed at the same moment, while two versions serve.
pub fn run_herd(mut site: Site, has_trouble: bool) -> io::Result<Verdict> {
    if !start(&mut site, &["v1", "v2"], &[0, 0, 1, 1, 2, 2, 3])? {
        return Ok(Verdict::CouldNotRun);
    }
    let sent_at = Instant::now();
    let killed: Vec<_> = (0..site.nodes.len()).filter(|it| *it != SURVIVOR).collect();
    let others = [site.nodes[SURVIVOR].path.address];
    let take_up_at = sent_at + HERD_KILL;
    let streams = begin_streams(&site, &others, sent_at, take_up_at);
    sleep_until(take_up_at);
    if has_trouble {
        // The first node is the last, so that no client comes before all are killed.
        killed.iter().rev().for_each(|idx| site.kill(*idx));
    }
    let fresh = begin_new(&site, &others);
    sleep_until(take_up_at + DOWN);
    if has_trouble {
        killed.iter().try_for_each(|idx| site.restart(*idx))?;
    }
    judge(&site, streams, fresh)
}

/// Starts replicas of each version in each zone and nodes in the given zones. Returns whether the nodes are ready.
fn start(site: &mut Site, versions: &[&'static str], nodes: &[usize]) -> io::Result<bool> {
    for version in versions {
        for (idx, zone) in ["trapani", "agrigento", "ragusa", "enna"].into_iter().enumerate() {
            add_replica(site, &format!("i-{version}-{idx}"), zone, version)?;
        }
    }
    site.put_config(1, &config());
    for zone in nodes {
        site.add_node(*zone, false)?;
    }
    if !site.until_ready(Duration::from_secs(15)) {
        return Ok(false);
    }
    // Traffic starts 10 s after the machines do.
    thread::sleep(Duration::from_secs(10));
    Ok(true)
}

/// Sends streams to the first node, and takes them up at others when their channels have ended.
fn begin_streams(
    site: &Site,
    others: &[SocketAddr],
    sent_at: Instant,
    leave_at: Instant,
) -> Vec<JoinHandle<Option<bool>>> {
    let (first, end) = (site.nodes[0].path.address, sent_at + LIMIT);
    let begin = |idx: usize| {
        let (record, others) = (site.record.clone(), others.to_vec());
        thread::spawn(move || {
            let id = format!("5f{idx:02x}000000000001");
            let mut call = stream_call(&id, end);
            call.leave_at = Some(leave_at);
            record.write(&format!("request {id} sent to the first node"));
            let begun = http::call(first, &call);
            record.write(&format!("request {id}: {}", describe(&begun)));
            take_up(&id, &begun, &others, idx, end, &record)
        })
    };
    (0..N_STREAMS).map(begin).collect()
}

/// Sends new streams while the others are taken up.
fn begin_new(site: &Site, nodes: &[SocketAddr]) -> Vec<JoinHandle<bool>> {
    let begin = |idx: usize| {
        let (record, node) = (site.record.clone(), nodes[idx % nodes.len()]);
        thread::spawn(move || {
            let id = format!("7a{idx:02x}000000000002");
            let answer = http::call(node, &stream_call(&id, Instant::now() + LIMIT));
            record.write(&format!("new request {id}: {}", describe(&answer)));
            !answer.event_ids().is_empty()
        })
    };
    (0..N_STREAMS).map(begin).collect()
}

/// Compares the share of the streams that went on with that of the new ones that began.
fn judge(
    site: &Site,
    streams: Vec<JoinHandle<Option<bool>>>,
    fresh: Vec<JoinHandle<bool>>,
) -> io::Result<Verdict> {
    let record = &site.record;
    let taken_up: Vec<_> = streams.into_iter().filter_map(|it| it.join().ok().flatten()).collect();
    let n_begun = fresh.into_iter().filter_map(|it| it.join().ok()).filter(|it| *it).count();
    for run in site.runs.lock().unwrap().iter() {
        let text =
            format!("replica {} runs {} from event {}", run.replica, run.id, run.first_event);
        record.write_at(run.at, &text);
    }
    let n_gone_on = taken_up.iter().filter(|it| **it).count();
    let text = format!(
        "{} streams were taken up, {n_gone_on} went on; of {N_STREAMS} new ones {n_begun} began",
        taken_up.len()
    );
    record.write(&text);
    println!("{text}");
    if taken_up.len() < 12 || n_begun == 0 {
        return Ok(Verdict::CouldNotRun);
    }
    let share_gone_on = n_gone_on as f64 / taken_up.len() as f64;
    let share_begun = n_begun as f64 / N_STREAMS as f64;
    let is_broken = share_gone_on < share_begun / 2.0;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// Takes a stream up at another node, once, since the site's clients make one retry of these requests. Returns whether it
/// went on, or `None` if there was nothing to take up.
fn take_up(
    first_id: &str,
    begun: &Answer,
    nodes: &[SocketAddr],
    idx: usize,
    end: Instant,
    record: &crate::site::Record,
) -> Option<bool> {
    let last = *begun.event_ids().last()?;
    if begun.end == End::Complete {
        return None;
    }
    let id = format!("{}2", &first_id[..15]);
    let mut call = stream_call(&id, end);
    call.headers.push(("Last-Event-Id", last.to_string()));
    call.headers.push(("Resumes", first_id.to_owned()));
    let answer = http::call(nodes[idx % nodes.len()], &call);
    record.write(&format!("request {id} takes {first_id} up after {last}: {}", describe(&answer)));
    Some(answer.event_ids().first() == Some(&(last + 1)))
}

fn stream_call(id: &str, end: Instant) -> Call {
    let left = end.saturating_duration_since(Instant::now()).as_millis();
    Call {
        method: "POST",
        path: "/lohu930/2f".to_owned(),
        headers: vec![
            ("Host", HOST.to_owned()),
            ("X-Attempt-Id", id.to_owned()),
            ("X-Model", "m".to_owned()),
            ("X-Token-Usage", "1460,300".to_owned()),
            ("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250".to_owned()),
            ("X-Deadline-Ms", left.to_string()),
            ("Authorization", format!("Bearer {KEY}")),
        ],
        body: format!("text of {}", &id[..4]).into_bytes(),
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
        service: "huvo11a",
        zone,
        version,
        slots: 64,
        work: Work { n_events: N_EVENTS, interval_ms: INTERVAL_MS },
        short: None,
        crashing_part: None,
    })?;
    Ok(())
}

fn config() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"lohu930\",\"host\":\"{HOST}\",\"pathPrefix\":\"/lohu930/\",\
         \"routeKind\":\"streaming\",\"timeoutMs\":15000,\"ttftTargetMs\":{OBJECTIVE_MS},\"priority\":1,\
         \"service\":\"huvo11a\",\"attempts\":2,\"anonymous\":false,\"sticky\":true,\"resumable\":true,\
         \"itlTargetMs\":{PAUSE_MS}}}],\
         \"services\":[{{\"name\":\"huvo11a\",\"healthPath\":\"/health\",\"maxConns\":360,\
         \"engine\":{{\"slots\":64,\"kvCapacity\":595208,\"moves\":false,\"backups\":false}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"unit\":\"token_count\",\
         \"uncachedTokens\":200,\"ratePerS\":1000000,\"burst\":1000000}}]}}"
    )
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
