//! Paces that upstreams state as the fourth figure of their load.

use lentilhitch_standin::{
    harness::until,
    users_platform::{Behavior, Site, SiteOptions},
};

/// Sends requests one after another, and returns how many of them the first upstream got.
async fn n_at_first(site: &Site, prefix: &str, n: usize) -> usize {
    let n_before = site.applications[0].executed().len();
    for it in 0..n {
        let response = site.call(0, &format!("{prefix}{it}"), "/status/x").await.unwrap();
        assert_eq!(response.status, 200);
    }
    site.applications[0].executed().len() - n_before
}

/// Guards against a fourth figure that is not read, and against an unusable one that stops requests or is taken as a pace.
#[tokio::test]
async fn requests_go_to_the_upstream_whose_machine_is_faster() {
    let options = SiteOptions { n_applications: 2, ..SiteOptions::default() };
    let site = Site::start(options).await.unwrap();
    let [first, second] = &site.applications[..] else { panic!("two applications") };
    for it in [first, second] {
        it.set(Behavior::Serve { work_ms: 1 });
    }
    // The slow machine is busy at first, so that the other upstream gets requests and its pace is learned. In the second
    // case, the slow upstream has become fast while it got no requests.
    for (at_first, at_second, expected) in
        [("20,0,8,400", "0,0,8,100", 0..=2), ("0,0,8,100", "20,0,8,400", 18..=20)]
    {
        first.state_load(Some(at_first));
        second.state_load(Some(at_second));
        until("most requests go to the faster machine", || async {
            expected.contains(&n_at_first(&site, "b", 20).await)
        })
        .await
        .unwrap();
    }

    // Unusable figures are no error for requests, and the figures before them still count.
    for unusable in ["0,0,8,-3", "0,0,8,fast", "0,0,8,1e12", "0,0", "x", ""] {
        first.state_load(Some(unusable));
        second.state_load(Some(unusable));
        n_at_first(&site, "c", 4).await;
    }
    let text = site.nodes[0].process.log_text();
    let n_logged = text.matches("ignoring figures of the load").count();
    assert!((1..=2).contains(&n_logged), "logged {n_logged} times for two upstreams");
}
