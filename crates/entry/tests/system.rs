//! Entries with a store and upstreams: when changes of rows and settings take effect, and how an entry stops.

mod support;

use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net::{
        SocketAddr,
        TcpStream, //
    },
    sync::{
        atomic::{
            AtomicUsize,
            Ordering, //
        },
        Arc, //
    },
    thread,
    time::Duration, //
};
use support::{
    eventually,
    ok_response,
    request_head,
    routes,
    upstream_row,
    Caller,
    Entry,
    MemoryStore,
    Upstream, //
};

fn status(entry: &Entry, method: &str, path: &str, id: &str) -> u16 {
    let mut caller = Caller::connect(entry);
    caller.send(request_head(method, path, id, "content-length: 0\r\n"));
    caller.read_response().expect("the entry responds").status
}

/// Returns the addresses in the response to a lookup for callers in this region; empty if it cannot be parsed.
fn lookup(entry: &Entry, region: &str) -> Vec<SocketAddr> {
    let mut stream = TcpStream::connect(entry.lookups).expect("the port for lookups is open");
    let head = format!(
        "GET /v1/entries?name=app.example&region={region}&zone=z HTTP/1.1\r\nhost: x\r\n\
         connection: close\r\n\r\n"
    );
    stream
        .write_all(head.as_bytes())
        .expect("the connection is open");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .expect("the entry responds");
    let Some((_, body)) = response.split_once("\r\n\r\n") else {
        return Vec::new();
    };
    let Ok(body) = serde_json::from_str::<serde_json::Value>(body) else {
        return Vec::new();
    };
    let addresses = body["entries"].as_array().cloned().unwrap_or_default();
    let addresses = addresses
        .iter()
        .filter_map(|address| address.as_str()?.parse().ok());
    addresses.collect()
}

/// An entry that has no routes yet responds with 503 and a time to retry after, not with 404.
#[test]
fn entry_without_routes_responds_with_retry_after() {
    let store = MemoryStore::default();
    store.set_down(true);
    let grace = Duration::from_secs(6);
    let entry = Entry::start_unready("entry-1", "region-a", &store, grace);
    entry.wait_ready(false);
    let mut caller = Caller::connect(&entry);
    caller.send(request_head("GET", "/r/x", "a1", ""));
    let response = caller.read_response().expect("the entry responds");
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    store.put_routes(&routes(1));
    let upstream = Upstream::responding("ok");
    store.put_upstream(&upstream_row("u-1", upstream.addr));
    store.set_down(false);
    entry.wait_ready(true);
    eventually("a response with status 200", || {
        (status(&entry, "GET", "/r/x", "a2") == 200).then_some(())
    });
}

/// A newer version of the routes takes effect. An older one or one that cannot be parsed leaves the current one.
#[test]
fn routes_follow_the_store() {
    let store = MemoryStore::default();
    store.put_routes(&routes(3));
    let upstream = Upstream::responding("ok");
    store.put_upstream(&upstream_row("u-1", upstream.addr));
    let entry = Entry::start("entry-1", &store);
    eventually("a response with status 200", || {
        (status(&entry, "GET", "/r/x", "a") == 200).then_some(())
    });
    let mut next = routes(4);
    next.hosts[0].routes.remove(0);
    store.put_routes(&next);
    eventually("the new routes to take effect", || {
        (status(&entry, "GET", "/r/x", "b") == 404).then_some(())
    });
    store.put_routes(&routes(2));
    store.put("operator/routes", "{ no such thing");
    thread::sleep(Duration::from_millis(300));
    assert_eq!(status(&entry, "GET", "/r/x", "c"), 404);
    assert_eq!(status(&entry, "GET", "/d/x", "d"), 200);
    store.compact();
    store.put_routes(&routes(6));
    eventually("the routes stored after the history was discarded", || {
        (status(&entry, "GET", "/r/x", "e") == 200).then_some(())
    });
}

/// Guards against requests that are sent again and again to the address of a former upstream, which another process
/// now uses. This happened when that process had responded with 421 while the row of the upstream still existed, and
/// another change made control publish a new snapshot: this reopened the upstream that traffic had closed.
#[test]
fn upstream_whose_address_is_reused_stays_closed() {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let other = Upstream::start(Box::new(|_, _, connection| {
        connection.write("HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n");
        true
    }));
    let healthy = Upstream::responding("ok");
    store.put_upstream(&upstream_row("u-1", other.addr));
    store.put_upstream(&upstream_row("u-2", healthy.addr));
    let entry = Entry::start("entry-1", &store);
    let send_requests = |round: u64| {
        for number in 0..20 {
            let id = format!("{round:x}a{number:x}");
            assert_eq!(status(&entry, "POST", "/f/x", &id), 200);
        }
    };
    send_requests(1);
    assert_eq!(
        other.requests().len(),
        1,
        "requests sent to the former address"
    );
    for version in 2..5 {
        let mut next = routes(version);
        next.hosts[0].routes[0].prefix = format!("/r{version}/").into();
        store.put_routes(&next);
        eventually("the next routes to take effect", || {
            let path = format!("/r{version}/x");
            (status(&entry, "GET", &path, "b") == 200).then_some(())
        });
        send_requests(version);
    }
    assert_eq!(
        other.requests().len(),
        1,
        "requests sent to the former address after changes of the routes"
    );
}

/// Guards against each process spending the whole constant part of the retry budget after a restart of all of them. A
/// process knows routes and upstreams before it has read the rows of the other entries; until then it must not assume
/// that there are no others.
#[test]
fn no_share_of_the_retry_budget_before_entries_are_counted() {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let failing = || {
        Upstream::start(Box::new(|_, request, connection| {
            let id = request.id();
            connection.write(format!(
                "HTTP/1.1 500 Failed\r\njasmine-request: {id}\r\nupstream-id: s\r\n\
                 content-length: 0\r\n\r\n"
            ));
            true
        }))
    };
    let upstreams = [failing(), failing()];
    store.put_upstream(&upstream_row("u-1", upstreams[0].addr));
    store.put_upstream(&upstream_row("u-2", upstreams[1].addr));
    store.scans_refused.store(true, Ordering::Relaxed);
    let entry = Entry::start_uncounted("entry-1", &store);
    let sends = || upstreams.iter().map(|u| u.requests().len()).sum::<usize>();
    assert_eq!(status(&entry, "GET", "/r/x", "a1"), 500);
    assert_eq!(sends(), 1, "number of sends before the entries are counted");
    store.scans_refused.store(false, Ordering::Relaxed);
    eventually("a request that is sent twice", || {
        let before = sends();
        assert_eq!(status(&entry, "GET", "/r/x", "a2"), 500);
        (sends() == before + 2).then_some(())
    });
}

/// An upstream that is leaving gets no new requests; those that it is running complete.
#[test]
fn leaving_upstream_gets_no_new_requests() {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let leaving_upstream = Upstream::start(Box::new(|number, request, connection| {
        if number == 0 {
            thread::sleep(Duration::from_millis(800));
        }
        connection.write(ok_response(request, "from the first"));
        true
    }));
    store.put_upstream(&upstream_row("u-1", leaving_upstream.addr));
    let entry = Entry::start("entry-1", &store);
    let mut running = Caller::connect(&entry);
    running.send(request_head("GET", "/r/x", "a1", ""));
    eventually("the request to reach the upstream", || {
        (!leaving_upstream.requests().is_empty()).then_some(())
    });
    let other = Upstream::responding("from the other");
    store.put_upstream(&upstream_row("u-2", other.addr));
    let mut leaving_row = upstream_row("u-1", leaving_upstream.addr);
    leaving_row.leaving = true;
    store.put_upstream(&leaving_row);
    eventually("a request at the other upstream", || {
        let before = leaving_upstream.requests().len();
        let served = status(&entry, "GET", "/r/x", "probe") == 200;
        (served && leaving_upstream.requests().len() == before).then_some(())
    });
    for number in 0..10 {
        assert_eq!(status(&entry, "GET", "/r/x", &format!("b{number}")), 200);
    }
    assert_eq!(
        running.read_response().expect("the entry responds").body,
        b"from the first"
    );
    let new_requests = leaving_upstream
        .requests()
        .iter()
        .filter(|request| request.id().starts_with('b'))
        .count();
    assert_eq!(new_requests, 0);
}

/// Guards against a restarted upstream that gets no requests: it was leaving, ended, and started again under the same
/// name without removal of its row, and must not be taken for its former incarnation.
#[test]
fn upstream_restarted_under_its_name_gets_requests() {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let first = Upstream::responding("first incarnation");
    let mut row = upstream_row("u-1", first.addr);
    row.started_ms = 1000;
    store.put_upstream(&row);
    let entry = Entry::start("entry-1", &store);
    eventually("a response of the first incarnation", || {
        (status(&entry, "GET", "/r/x", "a1") == 200).then_some(())
    });
    row.leaving = true;
    store.put_upstream(&row);
    eventually("the leaving upstream to get no requests", || {
        (status(&entry, "GET", "/r/x", "a2") == 503).then_some(())
    });
    let second = Upstream::responding("second incarnation");
    row = upstream_row("u-1", second.addr);
    row.started_ms = 2000;
    store.put_upstream(&row);
    eventually("a response of the second incarnation", || {
        (status(&entry, "GET", "/r/x", "a3") == 200).then_some(())
    });
    assert!(!second.requests().is_empty());
}

/// Guards against sending requests for a new incarnation of an upstream to the former one. If a request is still
/// running when the upstream starts again under its name at another address, its connection must not be reused
/// afterwards.
#[test]
fn connection_of_a_former_incarnation_is_not_reused() {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let first = Upstream::start(Box::new(|number, request, connection| {
        if number == 0 {
            thread::sleep(Duration::from_millis(1500));
        }
        connection.write(ok_response(request, "first"));
        true
    }));
    let mut row = upstream_row("u-1", first.addr);
    row.started_ms = 1000;
    store.put_upstream(&row);
    let entry = Entry::start("entry-1", &store);
    let mut running = Caller::connect(&entry);
    running.send(request_head("GET", "/r/x", "a1", ""));
    eventually("the request to reach the first incarnation", || {
        (!first.requests().is_empty()).then_some(())
    });
    let second = Upstream::responding("second");
    row = upstream_row("u-1", second.addr);
    row.started_ms = 2000;
    store.put_upstream(&row);
    eventually("a request at the second incarnation", || {
        let served = status(&entry, "GET", "/r/x", "probe") == 200;
        (served && !second.requests().is_empty()).then_some(())
    });
    assert_eq!(
        running.read_response().expect("the entry responds").body,
        b"first"
    );
    let before = first.requests().len();
    for number in 0..5 {
        assert_eq!(status(&entry, "GET", "/r/x", &format!("b{number}")), 200);
    }
    assert_eq!(first.requests().len(), before);
}

/// Guards against using the former content of a row that another writer has replaced by bytes that cannot be parsed
/// or by fields of other types: the upstream must get no requests. Other rows stay valid, and the next valid row of
/// the upstream makes it available again.
#[test]
fn upstream_with_an_invalid_row_gets_no_requests() {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let (first, second) = (
        Upstream::responding("first"),
        Upstream::responding("second"),
    );
    store.put_upstream(&upstream_row("u-1", first.addr));
    store.put_upstream(&upstream_row("u-2", second.addr));
    let entry = Entry::start("entry-1", &store);
    let upstreams_used = |round: usize| {
        let before = (first.requests().len(), second.requests().len());
        for number in 0..20 {
            let id = format!("r{round}-{number}");
            assert_eq!(status(&entry, "GET", "/r/x", &id), 200);
        }
        (
            first.requests().len() > before.0,
            second.requests().len() > before.1,
        )
    };
    eventually("requests at both upstreams", || {
        (upstreams_used(0) == (true, true)).then_some(())
    });
    for garbage in [&b"\xff{"[..], b"{}", br#"{"id":7}"#] {
        store.put("upstreams/u-1", garbage.to_vec());
        eventually("requests at the second upstream only", || {
            (upstreams_used(1) == (false, true)).then_some(())
        });
        store.put_upstream(&upstream_row("u-1", first.addr));
        eventually("requests at both upstreams again", || {
            (upstreams_used(2) == (true, true)).then_some(())
        });
    }
}

/// Guards against an entry that calls the store again immediately after each change, which returns one row per call
/// when upstreams start one after another. Without incidents, 67 entries and 190 upstreams made 100 calls per entry
/// in 50 s, where 25 suffice to wait for changes.
#[test]
fn simultaneous_changes_are_read_in_batches() {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let entry = Entry::start("entry-1", &store);
    entry.wait_ready(true);
    let upstream = Upstream::responding("ok");
    let before = store.change_batches();
    for number in 0..40 {
        store.put_upstream(&upstream_row(format!("u-{number}"), upstream.addr));
        thread::sleep(Duration::from_millis(10));
    }
    let last = upstream_row("u-last", upstream.addr);
    store.put_upstream(&last);
    eventually("the last upstream to be used", || {
        (status(&entry, "GET", "/r/x", "a1") == 200).then_some(())
    });
    let calls = store.change_batches() - before;
    assert!(calls <= 6, "{calls} calls for 41 rows within about 400 ms");
}

/// Guards against an entry that knows only the warm keys of its own requests. Another entry, or one started later, then
/// sends a key to the upstream that ranks highest for it, which may not have cached it; a sixth of all responses were
/// late because each entry warmed the keys at its own choice of upstream.
#[test]
fn entries_share_which_keys_are_warm() {
    let store = MemoryStore::default();
    let mut sticky = routes(1);
    for route in sticky.hosts.iter_mut().flat_map(|host| &mut host.routes) {
        route.sticky = true;
    }
    store.put_routes(&sticky);
    let first = Upstream::caching("first", Duration::from_millis(150));
    store.put_upstream(&upstream_row("u-1", first.addr));
    let first_entry = Entry::start("entry-1", &store);
    let second_entry = Entry::start("entry-2", &store);
    eventually("both entries in lookups", || {
        (lookup(&first_entry, "region-a").len() == 2
            && lookup(&second_entry, "region-a").len() == 2)
            .then_some(())
    });
    // Whether the upstream that is added later ranks higher for a key.
    let ranks_second = |key: &String| {
        let key = balance::affinity_hash(key.as_bytes());
        let rank_of = |name: &[u8]| balance::rendezvous_score(key, balance::affinity_hash(name));
        rank_of(b"u-2") > rank_of(b"u-1")
    };
    let keys: Vec<String> = (0..)
        .map(|n| format!("k{n}"))
        .filter(ranks_second)
        .take(5)
        .collect();
    let send = |entry: &Entry, key: &str| {
        let mut caller = Caller::connect(entry);
        let cookie = format!("cookie: jasmine-affinity={key}\r\n");
        caller.send(request_head("GET", "/r/x", &format!("{key}-1"), &cookie));
        assert_eq!(
            caller.read_response().expect("the entry responds").status,
            200
        );
    };
    for key in &keys {
        send(&first_entry, key);
    }
    let second = Upstream::caching("second", Duration::from_millis(150));
    store.put_upstream(&upstream_row("u-2", second.addr));
    let mut other_keys = (0..).map(|n| format!("o{n}")).filter(ranks_second);
    eventually("the second upstream to be used by both entries", || {
        let before = second.requests().len();
        send(
            &first_entry,
            &other_keys.next().expect("the iterator is infinite"),
        );
        send(
            &second_entry,
            &other_keys.next().expect("the iterator is infinite"),
        );
        (second.requests().len() == before + 2).then_some(())
    });
    let third_entry = Entry::start("entry-3", &store);
    eventually("the third entry in lookups", || {
        (lookup(&first_entry, "region-a").len() == 3).then_some(())
    });
    thread::sleep(Duration::from_millis(600));
    let before = second.requests().len();
    for key in &keys {
        send(&second_entry, key);
        send(&third_entry, key);
    }
    assert_eq!(
        second.requests().len(),
        before,
        "keys that are warm at the first upstream were sent to the second"
    );
}

/// Guards against an entry that uses old routes and upstreams while the store refuses its calls only: it must learn of
/// changes from the other entries.
#[test]
fn entry_without_the_store_learns_from_the_others() {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let first = Upstream::responding("first");
    store.put_upstream(&upstream_row("u-1", first.addr));
    let cut_off_store = store.handle();
    let first_entry = Entry::start("entry-1", &store);
    let second_entry = Entry::start("entry-2", &cut_off_store);
    eventually("both entries in lookups", || {
        (lookup(&first_entry, "region-a").len() == 2
            && lookup(&second_entry, "region-a").len() == 2)
            .then_some(())
    });
    cut_off_store.set_down(true);
    let mut next = routes(2);
    next.hosts[0].routes.remove(0);
    store.put_routes(&next);
    let second = Upstream::responding("second");
    store.put_upstream(&upstream_row("u-2", second.addr));
    store.remove("upstreams/u-1");
    eventually("the new routes at the entry without the store", || {
        (status(&second_entry, "GET", "/r/x", "a") == 404).then_some(())
    });
    eventually("the new upstreams at the entry without the store", || {
        let before = first.requests().len();
        let served = status(&second_entry, "GET", "/d/x", "b") == 200;
        (served && first.requests().len() == before).then_some(())
    });
}

/// Guards against a planned stop that ends the process as soon as no request is running, which cuts off a request that
/// arrives just before the end. Running requests complete, later ones are refused as not run, and lookups no longer
/// return the entry.
#[test]
fn planned_stop_cuts_off_no_request() {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let cut_off = Arc::new(AtomicUsize::new(0));
    let upstream = Upstream::start(Box::new(|_, request, connection| {
        thread::sleep(Duration::from_millis(150));
        connection.write(ok_response(request, "ok"));
        true
    }));
    store.put_upstream(&upstream_row("u-1", upstream.addr));
    let grace = Duration::from_secs(4);
    let mut stopping = Entry::start_unready("entry-1", "region-a", &store, grace);
    stopping.wait_ready(true);
    let staying = Entry::start("entry-2", &store);
    eventually("both entries in lookups", || {
        (lookup(&staying, "region-a").len() == 2).then_some(())
    });
    stopping.stop();
    eventually("only the other entry in lookups", || {
        (lookup(&staying, "region-a") == [staying.callers]).then_some(())
    });
    stopping.wait_ready(false);
    let mut last = 0;
    for number in 0.. {
        // A caller that finds the port closed uses another entry.
        let Some(mut caller) = Caller::try_connect(&stopping) else {
            break;
        };
        let head = request_head(
            "POST",
            "/f/x",
            &format!("a{number}"),
            "content-length: 0\r\n",
        );
        if caller.stream.write_all(head.as_bytes()).is_err() {
            break;
        }
        match caller.read_response() {
            Some(response) => {
                assert_eq!(response.header("connection"), Some("close"));
                assert!(matches!(response.status, 200 | 503), "{}", response.head);
                last = response.status;
            }
            // Cut off if the upstream has received the request, otherwise never read by the entry.
            None if upstream
                .requests()
                .iter()
                .any(|request| request.id() == format!("a{number}")) =>
            {
                cut_off.fetch_add(1, Ordering::SeqCst);
            }
            None => break,
        }
    }
    assert_eq!(cut_off.load(Ordering::SeqCst), 0);
    assert_eq!(last, 503, "the last request must be refused as not run");
}

/// Guards against a planned stop that ends the process while a response is still being written to a slow caller.
#[test]
fn planned_stop_waits_until_responses_are_written() {
    let store = MemoryStore::default();
    let mut slow_routes = routes(1);
    for route in &mut slow_routes.hosts[0].routes {
        route.timeout = Duration::from_secs(10);
    }
    store.put_routes(&slow_routes);
    // Longer than the buffers of both sockets hold.
    let body = "x".repeat(32 << 20);
    let length = body.len();
    let upstream = Upstream::start(Box::new(move |_, request, connection| {
        connection.write(ok_response(request, &body));
        true
    }));
    store.put_upstream(&upstream_row("u-1", upstream.addr));
    let grace = Duration::from_secs(6);
    let mut entry = Entry::start_unready("entry-1", "region-a", &store, grace);
    entry.wait_ready(true);
    let mut caller = Caller::connect(&entry);
    caller.send(
        "GET /d/x HTTP/1.1\r\nhost: app.example\r\njasmine-request: a1\r\n\
         jasmine-deadline-ms: 10000\r\n\r\n",
    );
    eventually("the request at the upstream", || {
        (!upstream.requests().is_empty()).then_some(())
    });
    entry.stop();
    // An entry without a response in progress has ended by now; the grace period has not.
    thread::sleep(Duration::from_millis(4200));
    let mut received = Vec::new();
    let ended = caller.stream.read_to_end(&mut received);
    assert!(received.starts_with(b"HTTP/1.1 200"));
    assert!(
        received.len() > length,
        "{} bytes, {ended:?}",
        received.len()
    );
}

/// Guards against a grace period of zero until something has been published: an entry that had read nothing, because
/// the store was down from the start, ended half a second after the signal to stop.
#[test]
fn planned_stop_before_the_first_routes_waits_for_the_grace_period() {
    let store = MemoryStore::default();
    store.set_down(true);
    let grace = Duration::from_secs(4);
    let mut entry = Entry::start_unready("entry-1", "region-a", &store, grace);
    entry.wait_ready(false);
    entry.stop();
    thread::sleep(Duration::from_millis(1200));
    assert!(
        Caller::try_connect(&entry).is_some(),
        "the entry must still accept connections"
    );
}

/// Lookups no longer return an entry that has stopped, and return one of another region if the caller's has none.
#[test]
fn lookups_return_entries_that_accept_callers() {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let local = Entry::start("entry-1", &store);
    let grace = Duration::from_secs(2);
    let mut remote = Entry::start_unready("entry-2", "region-b", &store, grace);
    remote.wait_ready(true);
    eventually("the entry of the other region", || {
        (lookup(&local, "region-b") == [remote.callers]).then_some(())
    });
    assert_eq!(lookup(&local, "region-a"), [local.callers]);
    remote.stop();
    eventually("the entry of this region for callers of both", || {
        (lookup(&local, "region-b") == [local.callers]).then_some(())
    });
}

/// Changed settings take effect without a restart; invalid ones leave the last valid ones in force.
#[test]
fn changed_settings_take_effect() {
    let store = MemoryStore::default();
    store.put_routes(&routes(1));
    let entry = Entry::start("entry-1", &store);
    let has_new_ttl = || {
        let mut stream = TcpStream::connect(entry.lookups).expect("the port for lookups is open");
        let head =
            "GET /v1/entries?region=region-a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        stream
            .write_all(head.as_bytes())
            .expect("the connection is open");
        let mut response = String::new();
        stream
            .read_to_string(&mut response)
            .expect("the entry responds");
        response.contains("\"ttl_s\":0.5")
    };
    assert!(!has_new_ttl());
    entry.change_settings(|mut settings| {
        settings.bounds.lookup_ttl_max = Duration::from_millis(500);
        Ok(settings)
    });
    eventually("the new bound to take effect", || {
        has_new_ttl().then_some(())
    });
    entry.change_settings(|_| Err(vec!["bounds.grace-s: no figure".to_owned()]));
    thread::sleep(Duration::from_millis(2500));
    assert!(has_new_ttl());
}
