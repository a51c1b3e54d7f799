//! Load shedding: requests beyond the slots of the only engine, with teams of different priorities and of one priority.

use lentilhitch_standin::{
    harness::until,
    users_platform::{Behavior, Site, SiteOptions},
};
use serde_json::json;

const URGENT_KEY: &str = "urgent";
/// Requests of the less urgent team: several times the slots of the engine.
const N_REQUESTS: usize = 40;
/// Slots of the engine.
const N_SLOTS: usize = 8;
/// Deadline that clients state, in seconds.
const DEADLINE_S: f64 = 8.0;
const ENGINE: Behavior = Behavior::Stream { n_events: 10, interval_ms: 200, break_after: None };

async fn call(site: &Site, id: &str, key: Option<&str>) -> (u16, Option<f64>) {
    let request = match key {
        Some(key) => site.client().request_with_key(0, id, "/ask/x", key),
        None => site.request(0, id, "/ask/x"),
    };
    let request = request.header("x-token-usage", "1000,90").header("x-prompt-prefix", "a1:1000");
    let response = site.send(request).await.unwrap();
    (response.status, response.header("retry-after").parse().ok())
}

/// Guards against services that are shed although all their requests have one priority, rejections of urgent requests
/// in favor of others, rejections of requests that ran, and times to return that are useless to the client.
#[tokio::test]
async fn only_less_urgent_requests_beyond_the_capacity_are_rejected() {
    for urgent_priority in [0, 1] {
        let mut site = Site::start(SiteOptions::default()).await.unwrap();
        site.engines[0].set(ENGINE);
        site.put_config(|it| {
            let mut team = it["tenants"][0].clone();
            team["name"] = json!("urgent");
            team["apiKeys"] = json!([URGENT_KEY]);
            team["priority"] = json!(urgent_priority);
            it["tenants"].as_array_mut().unwrap().push(team);
        });
        // The node learns from the first streams how long a request holds a slot.
        until("the new team is served", || async {
            call(&site, "first", Some(URGENT_KEY)).await.0 == 200
        })
        .await
        .unwrap();
        let n_before = site.engines[0].executed().len();
        let ids: Vec<_> = (0..N_REQUESTS).map(|it| format!("c{it}")).collect();
        let calls = futures_util::future::join_all(ids.iter().map(|it| call(&site, it, None)));
        let urgent = async {
            let is_busy = || async { n_before + N_SLOTS <= site.engines[0].executed().len() };
            until("all slots are taken", is_busy).await.unwrap();
            call(&site, "urgent", Some(URGENT_KEY)).await
        };
        let (responses, (urgent_status, _)) = futures_util::future::join(calls, urgent).await;
        assert_eq!(urgent_status, 200);
        let rejected = ids.iter().zip(&responses).filter(|it| it.1.0 != 200);
        let mut n_rejected = 0;
        for (id, (status, retry_after_s)) in rejected {
            n_rejected += 1;
            assert_eq!((*status, site.n_runs(id)), (503, 0), "{id}");
            let retry_after_s = retry_after_s.unwrap();
            assert!((0.1..=DEADLINE_S / 3.0 + 0.01).contains(&retry_after_s), "{retry_after_s} s");
        }
        if urgent_priority == 0 {
            assert!((1..=N_REQUESTS - N_SLOTS).contains(&n_rejected), "{n_rejected} rejected");
        } else {
            assert_eq!(n_rejected, 0, "all requests have one priority");
        }
    }
}
