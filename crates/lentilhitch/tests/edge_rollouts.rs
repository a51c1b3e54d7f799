//! Rollouts: operators order a software version, and the system moves the traffic to it or back, whatever fails meanwhile.

use std::{
    cell::Cell,
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use futures_util::future::{join, join_all};
use lentilhitch_standin::{
    harness::until,
    users_platform::{
        Badness, Behavior, Node, Rollout, RolloutWatch, Site, SiteOptions, StoreFault, Upstream,
    },
};
use serde_json::json;

const SERVICE: &str = "filing";
const N_NODES: usize = 2;
const N_NEW: usize = 2;
/// Clients of each node, which send one request after the other.
const N_CLIENTS: usize = 6;
const WORK_MS: u64 = 15;
/// Events and clients of streams: enough streams for a decision within the time limit.
const N_EVENTS: u64 = 20;
const N_STREAM_CLIENTS: usize = 48;
const DURATION_S: f64 = 10.0;
/// Contract: the share of all requests that a bad version may get, and the number in addition.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
/// Contract: time after the 50th bad response from which on a bad version gets no request.
const ROLLBACK: Duration = Duration::from_secs(5);
const BAD_RESPONSES: usize = 50;
const OPTIONS: SiteOptions = SiteOptions {
    n_nodes: N_NODES,
    n_engines: 1,
    n_applications: 4,
    n_versions: 1,
    n_refusable: 0,
    has_links: false,
    usage_window_s: 1.0,
    usage_delay_s: 4.0,
    has_rollouts: true,
};
/// Paths of routes that lead to the service. The second route allows another attempt, the third runs requests at most
/// once.
const PATHS: [&str; 3] = ["/open/x", "/status/x", "/book/x"];

fn order(duration_s: f64) -> Rollout {
    Rollout { service: SERVICE.to_owned(), to: "v2".to_owned(), duration_s }
}

async fn start_new(work_ms: u64, badness: Option<Badness>) -> Vec<Upstream> {
    let mut new = Vec::new();
    for idx in 0..N_NEW {
        let serve = Behavior::Serve { work_ms };
        let id = format!("new-{idx}");
        let it = Upstream::start_unlisted(&id, SERVICE, "v2", serve).await.unwrap();
        if let Some(badness) = badness {
            it.become_bad(badness);
        }
        new.push(it);
    }
    new
}

fn list(site: &Site, upstreams: &[Upstream]) {
    for it in upstreams {
        it.write_entry(&site.store, &json!({}));
    }
}

/// Responses of the clients.
#[derive(Debug, Default)]
struct Load {
    n_sent: usize,
    n_served: usize,
    n_failed: usize,
    n_incomplete: usize,
}

/// Sends requests from all clients until `is_over`.
async fn press(site: &Site, is_over: &Rc<Cell<bool>>) -> Load {
    let clients = (0..N_NODES * N_CLIENTS).map(|client| async move {
        let mut load = Load::default();
        while !is_over.get() {
            let path = PATHS[client / N_NODES % PATHS.len()];
            let id = format!("c{client}-{}", load.n_sent);
            load.n_sent += 1;
            // A node that was killed accepts no connection.
            let Ok(response) = site.call(client % N_NODES, &id, path).await else {
                tokio::task::yield_now().await;
                continue;
            };
            load.n_served += usize::from(response.status == 200 && response.is_complete);
            load.n_failed += usize::from(response.status != 200);
            load.n_incomplete += usize::from(!response.is_complete);
        }
        load
    });
    join_all(clients).await.into_iter().fold(Load::default(), |sum, it| Load {
        n_sent: sum.n_sent + it.n_sent,
        n_served: sum.n_served + it.n_served,
        n_failed: sum.n_failed + it.n_failed,
        n_incomplete: sum.n_incomplete + it.n_incomplete,
    })
}

/// Waits for the verdict of a rollout under load. Returns what the clients got and the verdict.
async fn verdict_under_load(site: &Site, rollout: &Rollout) -> (Load, Option<String>) {
    let is_over = Rc::new(Cell::new(false));
    let wait = async {
        let verdict =
            until("there is a verdict", || async { rollout.verdict(&site.store).is_some() });
        let res = verdict.await;
        // The upstreams that the verdict ends get requests until the nodes know of it.
        let n_calls = site.store.n_calls();
        let _ = until("the nodes go on", || async { n_calls + 20 < site.store.n_calls() }).await;
        is_over.set(true);
        res
    };
    let (load, res) = join(press(site, &is_over), wait).await;
    for node in &site.nodes {
        let log = node.process.log_text();
        let lines = log.lines().filter(|it| it.contains("stage of rollout") || res.is_err());
        let lines: Vec<_> = lines.filter(|it| it.contains("rollout")).collect();
        println!("{}:\n{}", node.process.name, lines.join("\n"));
    }
    (load, rollout.verdict(&site.store))
}

fn n_executed(upstreams: &[Upstream]) -> usize {
    upstreams.iter().map(|it| it.executed().len()).sum()
}

/// Checks that a bad version got no more requests than the contract allows, and none for too long.
fn check_exposure(name: &str, site: &Site, new: &[Upstream]) {
    let (n_new, n_old) = (n_executed(new), n_executed(&site.applications));
    let n_max = EXPOSURE_SHARE * (n_new + n_old) as f64 + EXPOSURE_SLACK;
    println!("{name}: {n_new} of {} requests, {n_max} allowed", n_new + n_old);
    assert!(n_new as f64 <= n_max, "{name}: {n_new} of {} requests", n_new + n_old);
    let executed: Vec<_> = new.iter().flat_map(Upstream::executed).collect();
    let mut bad: Vec<Instant> =
        executed.iter().filter(|it| it.is_bad).map(|it| it.arrived).collect();
    bad.sort();
    if let Some(at) = bad.get(BAD_RESPONSES - 1) {
        let last = executed.iter().map(|it| it.arrived).max().unwrap();
        let late = last.duration_since(*at);
        println!("{name}: last request {late:?} after the 50th bad response");
        assert!(late <= ROLLBACK, "{name}: a request {late:?} after the 50th bad response");
    }
}

/// Checks that the platform interrupted no request when it stopped upstreams.
fn check_uninterrupted(name: &str, upstreams: &[Upstream]) {
    for it in upstreams {
        let n_open = it.executed().iter().filter(|it| !it.is_response_complete).count();
        assert_eq!(n_open, 0, "{name}: requests that {} had not answered when it ended", it.id);
    }
}

/// Guards against a good version that is not completed in time, requests that its completion interrupts, and further
/// requests to the old version.
#[tokio::test]
async fn good_version_is_completed_without_interruption() {
    let site = Site::start(OPTIONS).await.unwrap();
    let new = start_new(WORK_MS, None).await;
    for it in &site.applications {
        it.set(Behavior::Serve { work_ms: WORK_MS });
    }
    let rollout = order(DURATION_S);
    let _watch = RolloutWatch::start(&site.store, &rollout, &site.applications, &new);
    let started = Instant::now();
    rollout.order(&site.store);
    list(&site, &new);
    let (load, verdict) = verdict_under_load(&site, &rollout).await;
    assert_eq!(verdict.as_deref(), Some("completed"), "{load:?}");
    assert!(started.elapsed().as_secs_f64() <= DURATION_S + 1.0, "{:?}", started.elapsed());
    assert_eq!((load.n_failed, load.n_incomplete), (0, 0), "{load:?}");
    check_uninterrupted("good", &site.applications);
    assert_eq!(rollout.states(&site.store), ["in_progress", "completed"]);
}

/// Guards against a bad version that gets too many requests or is completed.
#[tokio::test]
async fn bad_version_is_rolled_back() {
    struct Case {
        name: &'static str,
        work_ms: u64,
        badness: Option<Badness>,
    }
    let bad = |after, path, every| Some(Badness { after, path, every });
    let cases = [
        Case { name: "from the start", work_ms: WORK_MS, badness: bad(0, "/", 1) },
        Case { name: "late", work_ms: WORK_MS, badness: bad(40, "/", 1) },
        Case { name: "one route", work_ms: WORK_MS, badness: bad(0, "/status/", 1) },
        Case { name: "a third", work_ms: WORK_MS, badness: bad(0, "/", 3) },
        Case { name: "slow", work_ms: 5 * WORK_MS, badness: None },
    ];
    for case in cases {
        let site = Site::start(OPTIONS).await.unwrap();
        for it in &site.applications {
            it.set(Behavior::Serve { work_ms: WORK_MS });
        }
        let new = start_new(case.work_ms, case.badness).await;
        let rollout = order(DURATION_S);
        let _watch = RolloutWatch::start(&site.store, &rollout, &site.applications, &new);
        rollout.order(&site.store);
        list(&site, &new);
        let (load, verdict) = verdict_under_load(&site, &rollout).await;
        assert_eq!(verdict.as_deref(), Some("rolled_back"), "{}: {load:?}", case.name);
        check_exposure(case.name, &site, &new);
        check_uninterrupted(case.name, &new);
        assert_eq!(rollout.states(&site.store), ["in_progress", "rolled_back"], "{}", case.name);
    }
}

/// Guards against a stream that a rollout interrupts, or that goes on at another version than the one that began it.
#[tokio::test]
async fn streams_stay_with_their_version_while_another_is_completed() {
    let options = SiteOptions { n_engines: 4, ..OPTIONS };
    let site = Site::start(options).await.unwrap();
    let stream = Behavior::Stream { n_events: N_EVENTS, interval_ms: 8, break_after: None };
    for it in &site.engines {
        it.set(stream);
    }
    let mut new = Vec::new();
    for idx in 0..N_NEW {
        let id = format!("new-{idx}");
        new.push(Upstream::start_unlisted(&id, "draft", "v2", stream).await.unwrap());
    }
    let rollout = Rollout { service: "draft".to_owned(), ..order(2.0 * DURATION_S) };
    let _watch = RolloutWatch::start(&site.store, &rollout, &site.engines, &new);
    rollout.order(&site.store);
    list(&site, &new);
    let is_over = Cell::new(false);
    let clients = (0..N_STREAM_CLIENTS).map(|client| {
        let (site, is_over) = (&site, &is_over);
        async move {
            let mut n_sent = 0;
            while !is_over.get() {
                let id = format!("c{client}-{n_sent}");
                let response = site.call(client % N_NODES, &id, "/review/x").await.unwrap();
                assert_eq!(response.status, 200, "{id}: {response:?}");
                let expected: Vec<u64> = (1..=N_EVENTS).collect();
                assert_eq!(response.event_ids(), expected, "{id}: {response:?}");
                n_sent += 1;
            }
        }
    });
    let wait = async {
        let decided =
            until("there is a verdict", || async { rollout.verdict(&site.store).is_some() });
        let res = decided.await;
        is_over.set(true);
        res
    };
    let (_, res) = join(join_all(clients), wait).await;
    res.unwrap();
    assert_eq!(rollout.states(&site.store), ["in_progress", "completed"]);
    check_uninterrupted("streams", &site.engines);
    let ids = |upstreams: &[Upstream]| -> BTreeSet<String> {
        upstreams.iter().flat_map(Upstream::executed).map(|it| it.id).collect()
    };
    let (at_old, at_new) = (ids(&site.engines), ids(&new));
    assert!(!at_new.is_empty(), "the new version got no stream");
    assert!(at_old.is_disjoint(&at_new), "{:?}", at_old.intersection(&at_new));
}

/// Faults while an order is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    HolderKilled,
    AllKilled,
    StoreSilent,
    ResponsesLost,
}

/// Guards against a verdict that changes, comes twice or never, a bad version that gets too much, and requests that the
/// completion interrupts, when nodes or the store fail while an order is in progress.
#[tokio::test]
async fn one_verdict_whatever_fails_meanwhile() {
    struct Case {
        fault: Fault,
        /// Stage at which the fault begins, as the holder logs it.
        stage: &'static str,
        badness: Option<Badness>,
    }
    let bad = Some(Badness { after: 20, path: "/", every: 1 });
    let case = |fault, stage, badness| Case { fault, stage, badness };
    let cases = [
        case(Fault::HolderKilled, "Probing", bad),
        case(Fault::AllKilled, "Probing", bad),
        case(Fault::StoreSilent, "Probing", bad),
        case(Fault::ResponsesLost, "Probing", bad),
        case(Fault::HolderKilled, "Loading", None),
        case(Fault::StoreSilent, "Loading", None),
        case(Fault::ResponsesLost, "Shifting", None),
    ];
    // One site at a time: at several, the responses of the stand-ins are late and a good version may get too little
    // evidence.
    for it in cases {
        let name = format!("{:?} at {}, bad: {}", it.fault, it.stage, it.badness.is_some());
        check_verdict(&name, it.fault, it.stage, it.badness).await;
    }
}

async fn check_verdict(name: &str, fault: Fault, stage: &str, badness: Option<Badness>) {
    let mut site = Site::start(OPTIONS).await.unwrap();
    for it in &site.applications {
        it.set(Behavior::Serve { work_ms: WORK_MS });
    }
    let new = start_new(WORK_MS, badness).await;
    let rollout = order(2.0 * DURATION_S);
    let _watch = RolloutWatch::start(&site.store, &rollout, &site.applications, &new);
    rollout.order(&site.store);
    list(&site, &new);
    let is_over = Rc::new(Cell::new(false));
    let first = async {
        let has_begun = || async { site.nodes.iter().any(|it| has_logged_stage(it, stage)) };
        let res = until("the stage has begun", has_begun).await;
        is_over.set(true);
        res
    };
    let (_, res) = join(press(&site, &is_over), first).await;
    res.unwrap();
    inject(&mut site, fault).await;
    let (load, verdict) = verdict_under_load(&site, &rollout).await;
    let expected = if badness.is_some() { "rolled_back" } else { "completed" };
    assert_eq!(verdict.as_deref(), Some(expected), "{name}: {load:?}");
    assert_eq!(rollout.states(&site.store), ["in_progress", expected], "{name}");
    if badness.is_some() {
        check_exposure(name, &site, &new);
    } else {
        check_uninterrupted(name, &site.applications);
    }
}

fn has_logged_stage(node: &Node, stage: &str) -> bool {
    let log = node.process.log_text();
    log.lines().any(|it| it.contains("stage of rollout") && it.contains(stage))
}

/// Guards against a verdict that is reversed, or an order that is carried out again, after the store has returned from a
/// copy that has neither the order nor the verdict.
#[tokio::test]
async fn verdict_stands_after_a_restore_of_the_store() {
    let site = Site::start(OPTIONS).await.unwrap();
    for it in &site.applications {
        it.set(Behavior::Serve { work_ms: WORK_MS });
    }
    let new = start_new(WORK_MS, Some(Badness { after: 0, path: "/", every: 1 })).await;
    let rollout = order(DURATION_S);
    site.store.take_copy();
    rollout.order(&site.store);
    list(&site, &new);
    let (load, verdict) = verdict_under_load(&site, &rollout).await;
    assert_eq!(verdict.as_deref(), Some("rolled_back"), "{load:?}");
    site.store.restore();
    // Operators and upstreams write again what was lost. The version now answers well.
    for it in &new {
        it.become_bad(Badness { after: usize::MAX, path: "/", every: 1 });
    }
    rollout.order(&site.store);
    list(&site, &new);
    let n_before = n_executed(&new);
    let (load, verdict) = verdict_under_load(&site, &rollout).await;
    assert_eq!(verdict.as_deref(), Some("rolled_back"), "{load:?}");
    assert_eq!(rollout.states(&site.store), ["rolled_back"]);
    assert_eq!(n_executed(&new), n_before, "requests to a version that was rolled back");
}

async fn inject(site: &mut Site, fault: Fault) {
    match fault {
        Fault::HolderKilled => {
            let holder = site
                .nodes
                .iter()
                .rposition(|it| it.process.log_text().contains("stage of rollout"));
            let holder = holder.expect("a node has logged a stage");
            site.nodes[holder].process.kill();
            site.restart(holder).unwrap();
        }
        Fault::AllKilled => {
            for node in &mut site.nodes {
                node.process.kill();
            }
            for idx in 0..site.nodes.len() {
                site.restart(idx).unwrap();
            }
        }
        Fault::StoreSilent | Fault::ResponsesLost => {
            let silent = match fault {
                Fault::StoreSilent => StoreFault::Unresponsive,
                _ => StoreFault::LostResponses,
            };
            site.store.set_fault(silent);
            let n_calls = site.store.n_calls();
            until("some calls met the fault", || async { n_calls + 10 < site.store.n_calls() })
                .await
                .unwrap();
            site.store.set_fault(StoreFault::None);
        }
    }
    site.until_ready().await.unwrap();
}

/// Guards against a version that no order names and that gets requests although versions are chosen by orders, and against
/// one that never gets any.
#[tokio::test]
async fn version_without_an_order_is_used_once_the_orders_are_confirmed() {
    let site = Site::start(OPTIONS).await.unwrap();
    let new = start_new(1, None).await;
    list(&site, &new);
    let is_over = Rc::new(Cell::new(false));
    let wait = async {
        let used = until("the released version is used", || async { 0 < n_executed(&new) });
        let res = used.await;
        is_over.set(true);
        res
    };
    let (load, res) = join(press(&site, &is_over), wait).await;
    res.unwrap();
    assert_eq!((load.n_failed, load.n_incomplete), (0, 0), "{load:?}");
    assert!(site.store.history("keyed.status", "rollout/filing").is_empty());
}

/// Guards against an operator's record that cannot be read and stops the rollouts of other services, or changes a status.
#[tokio::test]
async fn unreadable_order_is_ignored() {
    let site = Site::start(OPTIONS).await.unwrap();
    let values = [
        json!({ "service": SERVICE }),
        json!({ "service": "draft", "to": "v2", "durationS": 5 }),
        json!({ "service": SERVICE, "to": "v2", "durationS": -1 }),
        json!({ "service": SERVICE, "to": "", "durationS": 5 }),
    ];
    for it in &values {
        site.store.put("keyed.op", "rollout/filing", it);
    }
    let is_logged = || async {
        let log = site.nodes[0].process.log_text();
        values.len() <= log.matches("ignoring order of a rollout").count()
    };
    until("the node states that it ignores the records", is_logged).await.unwrap();
    assert!(site.store.history("keyed.status", "rollout/filing").is_empty());
    assert_eq!(site.call(0, "r", PATHS[0]).await.unwrap().status, 200);
}

/// Guards against calls, messages or choices of rollouts in a deployment without them.
#[tokio::test]
async fn deployment_without_rollouts_ignores_orders() {
    let site = Site::start(SiteOptions { has_rollouts: false, ..OPTIONS }).await.unwrap();
    let new = start_new(1, None).await;
    order(DURATION_S).order(&site.store);
    list(&site, &new);
    let is_over = Rc::new(Cell::new(false));
    let wait = async {
        let used = until("every version is used", || async { 0 < n_executed(&new) });
        let res = used.await;
        is_over.set(true);
        res
    };
    let (_, res) = join(press(&site, &is_over), wait).await;
    res.unwrap();
    for topic in ["keyed.rollouts", "keyed.status"] {
        assert_eq!(site.store.reads(topic), [], "{topic}");
        assert_eq!(site.store.n_records(topic), 0, "{topic}");
    }
}
