//! The platform's table and list as tables that can be followed.

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
    Faults,
    Kind, //
};
use std::{
    net::SocketAddr,
    time::Duration, //
};

/// Deadline of calls, however busy the machine.
const AMPLE: Duration = Duration::from_secs(20);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(10);
/// Wait in which nothing is to come.
const QUIET: Duration = Duration::from_millis(60);

struct World {
    addr: SocketAddr,
    platform: HttpPlatform,
    store: Store,
}

impl World {
    fn new() -> Self {
        let addr = support::platform();
        let platform = || HttpPlatform::new(format!("http://{addr}"), AMPLE, AMPLE);
        Self {
            addr,
            platform: platform(),
            store: Store::new(platform(), LOOK),
        }
    }

    async fn put(&self, key: &str, value: &'static str) {
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

    /// Sends a request of the stand-in's own control.
    async fn control(&self, method: &str, path: &str, body: &str) {
        let request = format!(
            "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let addr = self.addr;
        let answer = actix_rt::task::spawn_blocking(move || {
            use std::io::{
                Read as _,
                Write as _, //
            };
            let mut stream = std::net::TcpStream::connect(addr).expect("the stand-in");
            stream.write_all(request.as_bytes()).expect("it reads");
            let mut answer = String::new();
            stream.read_to_string(&mut answer).expect("an answer");
            answer
        });
        let answer = answer.await.expect("no panic");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }

    async fn list(&self, id: &'static str, state: ListedState) {
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

    /// The next changes after `position`, and the position that they reach.
    async fn changes(&self, table: &str, position: u64, wait: Duration) -> (Vec<FeedRow>, u64) {
        let changes = self.store.changes(table, position, wait).await;
        match changes.expect("the platform answers") {
            Changes::Rows(rows) => (rows.rows, rows.position),
            Changes::HistoryGone => panic!("there is no history to lose"),
        }
    }
}

const OPERATOR: &str = keys::OPERATOR_TABLE;

#[actix_rt::test]
async fn an_operators_rows_are_followed() {
    let world = World::new();
    world.put(keys::ROUTES_KEY, "first").await;
    let whole = world.store.read_all(OPERATOR).await.expect("a table");
    assert_eq!(whole.rows.len(), 1);
    let (rows, position) = world.changes(OPERATOR, whole.position, QUIET).await;
    assert_eq!((rows.len(), position), (0, whole.position));

    world.put(keys::ROUTES_KEY, "second").await;
    let (rows, position) = world.changes(OPERATOR, position, AMPLE).await;
    assert_eq!(rows[0].value.as_deref(), Some(&b"second"[..]));
    assert!(rows[0].version > whole.rows[0].version);

    let key = keys::evacuated_key("moshi-a");
    world.put(&key, keys::EVACUATED).await;
    let (rows, position) = world.changes(OPERATOR, position, AMPLE).await;
    assert!(rows.len() == 1 && rows[0].value.is_some(), "{rows:?}");
    world.put(&key, keys::NOT_EVACUATED).await;
    let (rows, _) = world.changes(OPERATOR, position, AMPLE).await;
    assert!(rows.len() == 1 && rows[0].value.is_none(), "{rows:?}");
}

#[actix_rt::test]
async fn upstreams_come_change_and_go() {
    let world = World::new();
    world.list("m-1", ListedState::Live).await;
    let whole = world.store.read_all("upstreams").await.expect("a list");
    let text =
        String::from_utf8_lossy(whole.rows[0].value.as_deref().expect("a value")).into_owned();
    let upstream: picture::ListedUpstream = serde_json::from_str(&text).expect("an upstream");
    assert_eq!(upstream.cold_left, Duration::from_millis(1500));
    assert!(!upstream.leaving);

    world.list("m-1", ListedState::Leaving).await;
    let (rows, position) = world.changes("upstreams", whole.position, AMPLE).await;
    assert!(String::from_utf8_lossy(rows[0].value.as_deref().expect("a value")).contains("true"));
    assert!(rows[0].version > whole.rows[0].version, "{rows:?}");

    world.control("DELETE", "/list/upstreams/m-1", "").await;
    let (rows, _) = world.changes("upstreams", position, AMPLE).await;
    assert!(rows.len() == 1 && rows[0].value.is_none(), "{rows:?}");
}

/// Symptom: an upstream that leaves gets work again. Sequence: it is listed as leaving; then the platform
/// answers with the list of a moment before. Cause guarded against: taking a list by when it came.
#[actix_rt::test]
async fn an_older_list_changes_nothing() {
    let world = World::new();
    world.list("m-1", ListedState::Live).await;
    let whole = world.store.read_all("upstreams").await.expect("a list");
    world.list("m-1", ListedState::Leaving).await;
    let (rows, position) = world.changes("upstreams", whole.position, AMPLE).await;
    assert_eq!(rows.len(), 1);
    world.list("m-1", ListedState::Live).await;
    let older = position + 1_000_000;
    let (rows, reached) = world.changes("upstreams", older, QUIET).await;
    assert!(rows.is_empty(), "{rows:?}");
    assert_eq!(reached, older);
}

/// Each outage is an error of the read, never an empty table: that would end all evacuations and close
/// all upstreams.
#[actix_rt::test]
async fn an_outage_is_no_empty_table() {
    let world = World::new();
    world.put(keys::ROUTES_KEY, "first").await;
    world.list("m-1", ListedState::Live).await;
    let down = Some(Fault {
        kind: Kind::Down,
        ..Fault::default()
    });
    world
        .set_faults(Faults {
            table: down,
            list: down,
            objects: None,
        })
        .await;
    for table in [OPERATOR, "upstreams"] {
        assert!(world.store.read_all(table).await.is_err());
        assert!(world.store.changes(table, 0, QUIET).await.is_err());
    }
}
