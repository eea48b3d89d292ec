//! The platform: a table with optimistic transactions, immutable objects and the list.

use crate::{
    lock,
    wall_ms,
    Share, //
};
use actix_web::{
    dev::{
        Extensions,
        Server, //
    },
    rt::net::TcpStream,
    web,
    App,
    HttpRequest,
    HttpResponse,
    HttpServer, //
};
use bytes::Bytes;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    json,
    Value, //
};
use std::{
    any::Any,
    collections::BTreeMap,
    future,
    io,
    net::{
        Shutdown,
        TcpListener, //
    },
    os::fd::AsFd,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

/// Largest body of a request.
const BODY_LIMIT_BYTES: usize = 256 << 20;

/// What goes wrong in one part of the platform.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Nothing.
    #[default]
    None,
    /// Refuses at once with 503, without effect.
    Down,
    /// Takes requests and never answers, without effect.
    Freeze,
    /// Answers `delay_ms` later than else.
    Slow,
    /// The effect takes place; the connection closes without an answer.
    LostAnswer,
    /// Reads of the table and the list give what they held when the fault was set; commits are as
    /// ever, and so are objects.
    Stale,
}

/// A fault of one part of the platform.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub kind: Kind,
    /// For `Slow`: the delay in milliseconds.
    pub delay_ms: u64,
    /// Part of the requests that meet the fault.
    pub ratio: f64,
}

impl Default for Fault {
    fn default() -> Self {
        Self {
            kind: Kind::None,
            delay_ms: 0,
            ratio: 1.0,
        }
    }
}

/// Body of `POST /fault`; parts left out keep their fault.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Fault of the table.
    pub table: Option<Fault>,
    /// Fault of the object store.
    pub objects: Option<Fault>,
    /// Fault of the list.
    pub list: Option<Fault>,
}

/// The list, or a part of it, as in the answer of `GET /list` and in a list file.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ListContent {
    /// When this was true, in milliseconds since the Unix epoch.
    pub as_of_ms: u64,
    /// Instances, each an object with an `id`.
    pub instances: Vec<Value>,
    /// Upstreams, each an object with an `id`.
    pub upstreams: Vec<Value>,
}

/// Requests that took effect or were answered, since the start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Counters {
    /// Reads and scans of the table.
    pub reads: u64,
    /// Transactions committed.
    pub commits: u64,
    /// Transactions refused by a check.
    pub conflicts: u64,
    /// Objects read or written.
    pub objects: u64,
    /// Reads of the list.
    pub lists: u64,
}

/// A part of the platform that has a fault of its own.
#[derive(Clone, Copy)]
enum Part {
    /// The table.
    Table,
    /// The object store.
    Objects,
    /// The list.
    List,
}

/// One row.
#[derive(Clone, Serialize)]
struct Row {
    /// Its name.
    key: String,
    /// Commit that last wrote it.
    version: u64,
    /// Its text.
    value: String,
}

/// A fault with the count that spreads its ratio.
#[derive(Default)]
struct Meter {
    /// The fault.
    fault: Fault,
    /// Which requests meet it.
    share: Share,
}

/// All that the platform holds.
#[derive(Default)]
struct State {
    /// Rows by key.
    rows: BTreeMap<String, Row>,
    /// Version of the last commit.
    version: u64,
    /// Objects by name.
    objects: BTreeMap<String, Bytes>,
    /// Listed instances by id.
    instances: BTreeMap<String, Value>,
    /// Listed upstreams by id.
    upstreams: BTreeMap<String, Value>,
    /// The list that a stale answer gives.
    stale: ListContent,
    /// The rows that a stale answer gives.
    stale_rows: BTreeMap<String, Row>,
    /// Faults, indexed by [`Part`].
    meters: [Meter; 3],
    /// What was done.
    counters: Counters,
}

/// The state as the handlers share it.
type Shared = web::Data<Arc<Mutex<State>>>;

/// A second handle of a connection's socket, to close it without an answer.
struct Socket(std::net::TcpStream);

/// Body of `POST /table/read`.
#[derive(Deserialize)]
struct ReadBody {
    /// Keys to read.
    keys: Vec<String>,
}

/// Body of `POST /table/scan`.
#[derive(Deserialize)]
struct ScanBody {
    /// Start of the keys.
    prefix: String,
}

/// Body of `POST /table/commit`.
#[derive(Deserialize)]
struct CommitBody {
    /// What must hold.
    checks: Vec<CheckBody>,
    /// What changes then.
    writes: Vec<WriteBody>,
}

/// A check.
#[derive(Deserialize)]
struct CheckBody {
    /// Name of the row.
    key: String,
    /// Its version; none when it must be absent.
    version: Option<u64>,
}

/// A write.
#[derive(Deserialize)]
struct WriteBody {
    /// Name of the row.
    key: String,
    /// Its new value; none deletes it.
    value: Option<String>,
}

/// Serves an empty platform on `listener`, on a thread of its own, until the server is stopped.
///
/// # Errors
///
/// When the listener can't be used.
pub fn serve(listener: TcpListener) -> io::Result<Server> {
    serve_with(listener, ListContent::default())
}

/// Like [`serve`], with a list to begin with.
///
/// # Errors
///
/// When the listener can't be used.
pub fn serve_with(listener: TcpListener, list: ListContent) -> io::Result<Server> {
    let state = Arc::new(Mutex::new(State {
        instances: by_id(list.instances),
        upstreams: by_id(list.upstreams),
        ..State::default()
    }));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(Arc::clone(&state)))
            .app_data(web::JsonConfig::default().limit(BODY_LIMIT_BYTES))
            .app_data(web::PayloadConfig::default().limit(BODY_LIMIT_BYTES))
            .route("/table/read", web::post().to(read))
            .route("/table/scan", web::post().to(scan))
            .route("/table/commit", web::post().to(commit))
            .route("/objects/{name}", web::get().to(get_object))
            .route("/objects/{name}", web::put().to(put_object))
            .route("/list", web::get().to(get_list))
            .route("/list/{what}/{id}", web::put().to(put_listed))
            .route("/list/{what}/{id}", web::delete().to(delete_listed))
            .route("/fault", web::post().to(set_faults))
            .route("/counters", web::get().to(get_counters))
    })
    .on_connect(keep_socket)
    .workers(1)
    .keep_alive(Duration::from_secs(75))
    .h1_allow_half_closed(false)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(server)
}

/// Keeps a second handle of each connection's socket.
fn keep_socket(connection: &dyn Any, extensions: &mut Extensions) {
    let socket = connection
        .downcast_ref::<TcpStream>()
        .and_then(|stream| stream.as_fd().try_clone_to_owned().ok());
    if let Some(socket) = socket {
        extensions.insert(Socket(socket.into()));
    }
}

/// Answers `POST /table/read`.
async fn read(state: Shared, request: HttpRequest, body: web::Json<ReadBody>) -> HttpResponse {
    with_fault(&state, &request, Part::Table, |state, kind| {
        state.counters.reads += 1;
        let known = state.rows_read(kind);
        let rows: Vec<_> = body.keys.iter().map(|key| known.get(key)).collect();
        HttpResponse::Ok().json(json!({ "rows": rows }))
    })
    .await
}

/// Answers `POST /table/scan`.
async fn scan(state: Shared, request: HttpRequest, body: web::Json<ScanBody>) -> HttpResponse {
    with_fault(&state, &request, Part::Table, |state, kind| {
        state.counters.reads += 1;
        let rows: Vec<_> = state
            .rows_read(kind)
            .range(body.prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(&body.prefix))
            .map(|(_, row)| row)
            .collect();
        HttpResponse::Ok().json(json!({ "rows": rows }))
    })
    .await
}

/// Answers `POST /table/commit`.
async fn commit(state: Shared, request: HttpRequest, body: web::Json<CommitBody>) -> HttpResponse {
    with_fault(&state, &request, Part::Table, |state, _| {
        state.commit(body.into_inner())
    })
    .await
}

impl State {
    /// Makes all writes if all checks hold.
    fn commit(&mut self, body: CommitBody) -> HttpResponse {
        let rows: Vec<_> = body.checks.iter().map(|c| self.rows.get(&c.key)).collect();
        let versions = rows.iter().map(|row| row.map(|row| row.version));
        if !versions.eq(body.checks.iter().map(|check| check.version)) {
            let answer = json!({ "committed": false, "rows": rows });
            self.counters.conflicts += 1;
            return HttpResponse::Conflict().json(answer);
        }
        self.counters.commits += 1;
        self.version += 1;
        let version = self.version;
        for WriteBody { key, value } in body.writes {
            match value {
                Some(value) => {
                    let row = Row {
                        key: key.clone(),
                        version,
                        value,
                    };
                    self.rows.insert(key, row);
                }
                None => {
                    self.rows.remove(&key);
                }
            }
        }
        HttpResponse::Ok().json(json!({ "committed": true, "version": version }))
    }

    /// The list as it is now.
    fn list(&self) -> ListContent {
        ListContent {
            as_of_ms: wall_ms(),
            instances: self.instances.values().cloned().collect(),
            upstreams: self.upstreams.values().cloned().collect(),
        }
    }

    /// The rows that a read finds under a fault.
    fn rows_read(&self, kind: Kind) -> &BTreeMap<String, Row> {
        match kind {
            Kind::Stale => &self.stale_rows,
            _ => &self.rows,
        }
    }

    /// Entries of one kind of the list.
    fn listed(&mut self, what: &str) -> Option<&mut BTreeMap<String, Value>> {
        match what {
            "instances" => Some(&mut self.instances),
            "upstreams" => Some(&mut self.upstreams),
            _ => None,
        }
    }

    /// The fault that the next request to a part meets.
    fn next_fault(&mut self, part: Part) -> Fault {
        let meter = &mut self.meters[part as usize];
        if meter.share.meets(meter.fault.ratio) {
            meter.fault
        } else {
            Fault::default()
        }
    }
}

/// Answers `GET /objects/<name>`.
async fn get_object(state: Shared, request: HttpRequest, name: web::Path<String>) -> HttpResponse {
    with_fault(&state, &request, Part::Objects, |state, _| {
        state.counters.objects += 1;
        match state.objects.get(name.as_str()) {
            Some(body) => HttpResponse::Ok().body(body.clone()),
            None => HttpResponse::NotFound().finish(),
        }
    })
    .await
}

/// Answers `PUT /objects/<name>`.
async fn put_object(
    state: Shared,
    request: HttpRequest,
    name: web::Path<String>,
    body: Bytes,
) -> HttpResponse {
    with_fault(&state, &request, Part::Objects, |state, _| {
        state.counters.objects += 1;
        let stored = state.objects.entry(name.into_inner());
        if *stored.or_insert_with(|| body.clone()) == body {
            HttpResponse::Ok().finish()
        } else {
            HttpResponse::Conflict().finish()
        }
    })
    .await
}

/// Answers `GET /list`.
async fn get_list(state: Shared, request: HttpRequest) -> HttpResponse {
    with_fault(&state, &request, Part::List, |state, kind| {
        state.counters.lists += 1;
        let list = if kind == Kind::Stale {
            state.stale.clone()
        } else {
            state.list()
        };
        HttpResponse::Ok().json(list)
    })
    .await
}

/// Answers `PUT /list/<what>/<id>`.
async fn put_listed(
    state: Shared,
    path: web::Path<(String, String)>,
    body: web::Json<Value>,
) -> HttpResponse {
    let (what, id) = path.into_inner();
    match lock(&state).listed(&what) {
        Some(entries) if body["id"] == id.as_str() => {
            entries.insert(id, body.into_inner());
            HttpResponse::Ok().finish()
        }
        Some(_) => HttpResponse::BadRequest().body("the id of the path is not the body's"),
        None => HttpResponse::NotFound().finish(),
    }
}

/// Answers `DELETE /list/<what>/<id>`.
async fn delete_listed(state: Shared, path: web::Path<(String, String)>) -> HttpResponse {
    let (what, id) = path.into_inner();
    match lock(&state)
        .listed(&what)
        .and_then(|entries| entries.remove(&id))
    {
        Some(_) => HttpResponse::Ok().finish(),
        None => HttpResponse::NotFound().finish(),
    }
}

/// Answers `POST /fault`.
async fn set_faults(state: Shared, faults: web::Json<Faults>) -> HttpResponse {
    let mut state = lock(&state);
    if faults.list.is_some() {
        state.stale = state.list();
    }
    if faults.table.is_some() {
        state.stale_rows = state.rows.clone();
    }
    let parts = [faults.table, faults.objects, faults.list];
    for (meter, fault) in state.meters.iter_mut().zip(parts) {
        if let Some(fault) = fault {
            *meter = Meter {
                fault,
                share: Share::default(),
            };
        }
    }
    HttpResponse::Ok().finish()
}

/// Answers `GET /counters`.
async fn get_counters(state: Shared) -> HttpResponse {
    HttpResponse::Ok().json(lock(&state).counters)
}

/// Runs `effect` under the fault that its part of the platform has.
async fn with_fault(
    state: &Shared,
    request: &HttpRequest,
    part: Part,
    effect: impl FnOnce(&mut State, Kind) -> HttpResponse,
) -> HttpResponse {
    let fault = lock(state).next_fault(part);
    match fault.kind {
        Kind::None | Kind::Stale => {}
        Kind::Down => return HttpResponse::ServiceUnavailable().finish(),
        Kind::Freeze => return future::pending().await,
        Kind::Slow => actix_web::rt::time::sleep(Duration::from_millis(fault.delay_ms)).await,
        Kind::LostAnswer => {
            effect(&mut lock(state), fault.kind);
            if let Some(Socket(socket)) = request.conn_data() {
                // Fails only when the caller closed it already, which is as good.
                let _ = socket.shutdown(Shutdown::Both);
            }
            return future::pending().await;
        }
    }
    effect(&mut lock(state), fault.kind)
}

/// Entries of a list by their ids; those without one are left out.
fn by_id(entries: Vec<Value>) -> BTreeMap<String, Value> {
    let with_id = |entry: Value| Some((entry["id"].as_str()?.to_owned(), entry));
    entries.into_iter().filter_map(with_id).collect()
}
