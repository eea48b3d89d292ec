//! Change feeds over the platform's table and upstream list.

mod support;

use plat::{
    Changes,
    Feed,
    FeedRow,
    HttpPlatform,
    ListedState,
    ListedUpstream,
    Outcome,
    Table,
    Txn,
    Write, //
};
use route::keys;
use router::Store;
use standin::platform::{
    Fault,
    FaultKind, //
    Faults,
};
use std::{
    net::SocketAddr,
    time::Duration, //
};

/// Deadline of calls and bound on waits, long enough for a busy machine.
const LONG_WAIT: Duration = Duration::from_secs(20);
/// Time between two polls of the platform.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Wait in which no change is expected.
const NO_CHANGE_WAIT: Duration = Duration::from_millis(60);

/// A stand-in platform, a client of it and the store under test.
struct Fixture {
    addr: SocketAddr,
    platform: HttpPlatform,
    store: Store,
}

impl Fixture {
    fn new() -> Self {
        let addr = support::start_platform();
        let platform = || HttpPlatform::new(format!("http://{addr}"), LONG_WAIT, LONG_WAIT);
        Self {
            addr,
            platform: platform(),
            store: Store::new(platform(), POLL_INTERVAL),
        }
    }

    /// Writes a row of the operators' table.
    async fn write_row(&self, key: &str, value: &'static str) {
        let write = Write::Put {
            key: format!("{}/{key}", keys::OPERATOR_TABLE).into(),
            value: value.into(),
        };
        let txn = Txn {
            checks: Vec::new(),
            writes: vec![write],
        };
        assert!(matches!(self.platform.commit(txn).await, Outcome::Done(_)));
    }

    /// Sends a request to the stand-in's control interface.
    async fn control(&self, method: &str, path: &str, body: &str) {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let addr = self.addr;
        let response = actix_rt::task::spawn_blocking(move || {
            use std::io::{
                Read as _,
                Write as _, //
            };
            let mut stream = std::net::TcpStream::connect(addr).expect("the stand-in");
            stream
                .write_all(request.as_bytes())
                .expect("the stand-in reads");
            let mut response = String::new();
            stream.read_to_string(&mut response).expect("an answer");
            response
        });
        let response = response.await.expect("no panic");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }

    /// Puts an upstream into the platform's list.
    async fn list_upstream(&self, id: &'static str, state: ListedState) {
        let listed = ListedUpstream {
            id: id.into(),
            service: "menu".into(),
            region: "moshi".into(),
            failure_domain: "moshi-a".into(),
            addr: "127.0.0.1:9".into(),
            slots: 4,
            state,
            cold_left_ms: 1500,
        };
        let body = serde_json::to_string(&listed).expect("plain data");
        self.control("PUT", &format!("/list/upstreams/{id}"), &body)
            .await;
    }

    async fn set_faults(&self, faults: Faults) {
        let body = serde_json::to_string(&faults).expect("plain data");
        self.control("POST", "/fault", &body).await;
    }

    /// Waits for the next changes after `position`; returns them and the position after them.
    async fn changes(&self, table: &str, position: u64, wait: Duration) -> (Vec<FeedRow>, u64) {
        let changes = self.store.changes(table, position, wait).await;
        match changes.expect("the platform answers") {
            Changes::Rows(rows) => (rows.rows, rows.position),
            Changes::HistoryGone | Changes::Restored => panic!("the store keeps no history"),
        }
    }
}

const OPERATOR: &str = keys::OPERATOR_TABLE;

#[actix_rt::test]
async fn operator_row_changes_are_followed() {
    let fixture = Fixture::new();
    fixture.write_row(keys::ROUTES_KEY, "first").await;
    let initial = fixture.store.read_all(OPERATOR).await.expect("a table");
    assert_eq!(initial.rows.len(), 1);
    let (rows, position) = fixture
        .changes(OPERATOR, initial.position, NO_CHANGE_WAIT)
        .await;
    assert_eq!((rows.len(), position), (0, initial.position));

    fixture.write_row(keys::ROUTES_KEY, "second").await;
    let (rows, position) = fixture.changes(OPERATOR, position, LONG_WAIT).await;
    assert_eq!(rows[0].value.as_deref(), Some(&b"second"[..]));
    assert!(rows[0].version > initial.rows[0].version);

    let key = keys::evacuated_key("moshi-a");
    fixture.write_row(&key, keys::EVACUATED).await;
    let (rows, position) = fixture.changes(OPERATOR, position, LONG_WAIT).await;
    assert!(rows.len() == 1 && rows[0].value.is_some(), "{rows:?}");
    fixture.write_row(&key, keys::NOT_EVACUATED).await;
    let (rows, _) = fixture.changes(OPERATOR, position, LONG_WAIT).await;
    assert!(rows.len() == 1 && rows[0].value.is_none(), "{rows:?}");
}

#[actix_rt::test]
async fn upstream_changes_are_followed() {
    let fixture = Fixture::new();
    fixture.list_upstream("m-1", ListedState::Live).await;
    let initial = fixture.store.read_all("upstreams").await.expect("a list");
    let text =
        String::from_utf8_lossy(initial.rows[0].value.as_deref().expect("a value")).into_owned();
    let upstream: picture::ListedUpstream = serde_json::from_str(&text).expect("an upstream");
    assert_eq!(upstream.cold_left, Duration::from_millis(1500));
    assert!(!upstream.leaving);

    fixture.list_upstream("m-1", ListedState::Leaving).await;
    let (rows, position) = fixture
        .changes("upstreams", initial.position, LONG_WAIT)
        .await;
    assert!(String::from_utf8_lossy(rows[0].value.as_deref().expect("a value")).contains("true"));
    assert!(rows[0].version > initial.rows[0].version, "{rows:?}");

    fixture.control("DELETE", "/list/upstreams/m-1", "").await;
    let (rows, _) = fixture.changes("upstreams", position, LONG_WAIT).await;
    assert!(rows.len() == 1 && rows[0].value.is_none(), "{rows:?}");
}

/// Guards against entries of other writers that end the following of the list.
macro_rules! list_with_an_unusable_entry_is_followed {
    ($($name:ident: $entry:expr;)*) => {$(
        #[actix_rt::test]
        async fn $name() {
            let fixture = Fixture::new();
            fixture.list_upstream("m-1", ListedState::Live).await;
            let initial = fixture.store.read_all("upstreams").await.expect("a list");
            fixture.control("PUT", "/list/upstreams/m-2", $entry).await;
            fixture.list_upstream("m-3", ListedState::Live).await;
            let (rows, position) = fixture
                .changes("upstreams", initial.position, LONG_WAIT)
                .await;
            assert!(rows.len() == 1 && rows[0].key == "m-3", "{rows:?}");
            let replaced = $entry.replace("m-2", "m-3");
            fixture.control("PUT", "/list/upstreams/m-3", &replaced).await;
            let (rows, _) = fixture.changes("upstreams", position, LONG_WAIT).await;
            let removed = rows.len() == 1 && rows[0].key == "m-3" && rows[0].value.is_none();
            assert!(removed, "{rows:?}");
        }
    )*};
}

list_with_an_unusable_entry_is_followed! {
    entry_without_fields: r#"{"id":"m-2"}"#;
    entry_with_a_port_out_of_range: r#"{"id":"m-2","service":"menu","region":"moshi",
        "failure_domain":"moshi-a","addr":"127.0.0.1:65536","slots":4,"state":"live"}"#;
    entry_with_too_many_slots: r#"{"id":"m-2","service":"menu","region":"moshi",
        "failure_domain":"moshi-a","addr":"127.0.0.1:9","slots":4294967296,"state":"live"}"#;
    entry_with_a_host_name: r#"{"id":"m-2","service":"menu","region":"moshi",
        "failure_domain":"moshi-a","addr":"somewhere:9","slots":4,"state":"live"}"#;
}

/// Guards against ordering lists by their arrival. A platform that lags may return an older list; if that
/// replaced a newer one, an upstream that is leaving would get requests again.
#[actix_rt::test]
async fn an_older_list_changes_nothing() {
    let fixture = Fixture::new();
    fixture.list_upstream("m-1", ListedState::Live).await;
    let initial = fixture.store.read_all("upstreams").await.expect("a list");
    fixture.list_upstream("m-1", ListedState::Leaving).await;
    let (rows, position) = fixture
        .changes("upstreams", initial.position, LONG_WAIT)
        .await;
    assert_eq!(rows.len(), 1);
    fixture.list_upstream("m-1", ListedState::Live).await;
    let later = position + 1_000_000;
    let (rows, end_position) = fixture.changes("upstreams", later, NO_CHANGE_WAIT).await;
    assert!(rows.is_empty(), "{rows:?}");
    assert_eq!(end_position, later);
}

/// An outage must be an error of the read. An empty table would end all evacuations and close all upstreams.
#[actix_rt::test]
async fn an_outage_is_not_an_empty_table() {
    let fixture = Fixture::new();
    fixture.write_row(keys::ROUTES_KEY, "first").await;
    fixture.list_upstream("m-1", ListedState::Live).await;
    let down = Some(Fault {
        kind: FaultKind::Down,
        ..Fault::default()
    });
    fixture
        .set_faults(Faults {
            table: down,
            list: down,
            objects: None,
        })
        .await;
    for table in [OPERATOR, "upstreams"] {
        assert!(fixture.store.read_all(table).await.is_err());
        assert!(fixture
            .store
            .changes(table, 0, NO_CHANGE_WAIT)
            .await
            .is_err());
    }
}
