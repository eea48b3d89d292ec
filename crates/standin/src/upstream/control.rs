//! Control interface of upstreams, through which tests set faults and read records.

use super::{
    Faults,
    Upstream, //
};
use actix_web::{
    dev::Server,
    web,
    App,
    HttpResponse,
    HttpServer, //
};
use serde::Deserialize;
use std::{
    collections::BTreeMap,
    io,
    net::TcpListener,
    sync::Arc, //
};

/// The upstreams that a control request can select from.
type Upstreams = web::Data<Vec<Arc<Upstream>>>;

/// Query that selects an upstream.
#[derive(Deserialize)]
struct UpstreamQuery {
    /// Id of the upstream; required if there are several.
    id: Option<String>,
}

/// Serves `/records` and, with `?id=`, `/fault`, `/record` and `/record/clear` for these upstreams,
/// on a thread of its own.
///
/// # Errors
///
/// Fails if the listener can't be used.
pub fn control(listener: TcpListener, upstreams: Vec<Arc<Upstream>>) -> io::Result<Server> {
    let server = HttpServer::new(move || {
        App::new()
            .app_data(web::Data::new(upstreams.clone()))
            .configure(routes)
            .route("/records", web::get().to(records))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?
    .run();
    Ok(server)
}

/// Adds the routes that an upstream also serves on its own port.
pub(super) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/fault", web::post().to(fault))
        .route("/record", web::get().to(record))
        .route("/record/clear", web::post().to(clear));
}

/// Handles `POST /fault`.
async fn fault(
    upstreams: Upstreams,
    query: web::Query<UpstreamQuery>,
    faults: web::Json<Faults>,
) -> HttpResponse {
    with_upstream(&upstreams, &query, |upstream| {
        upstream.set_faults(*faults);
        HttpResponse::Ok().finish()
    })
}

/// Handles `GET /record`.
async fn record(upstreams: Upstreams, query: web::Query<UpstreamQuery>) -> HttpResponse {
    with_upstream(&upstreams, &query, |upstream| {
        HttpResponse::Ok().json(upstream.record())
    })
}

/// Handles `POST /record/clear`.
async fn clear(upstreams: Upstreams, query: web::Query<UpstreamQuery>) -> HttpResponse {
    with_upstream(&upstreams, &query, |upstream| {
        upstream.clear_record();
        HttpResponse::Ok().finish()
    })
}

/// Handles `GET /records`: returns the record of each upstream by id.
async fn records(upstreams: Upstreams) -> HttpResponse {
    let records: BTreeMap<_, _> = upstreams.iter().map(|u| (u.id(), u.record())).collect();
    HttpResponse::Ok().json(records)
}

/// Calls `action` with the upstream that the query selects.
fn with_upstream(
    upstreams: &[Arc<Upstream>],
    query: &UpstreamQuery,
    action: impl FnOnce(&Arc<Upstream>) -> HttpResponse,
) -> HttpResponse {
    let matches =
        |upstream: &&Arc<Upstream>| query.id.as_ref().is_none_or(|id| upstream.id() == id);
    let mut matching = upstreams.iter().filter(matches);
    match (matching.next(), matching.next()) {
        (Some(upstream), None) => action(upstream),
        _ => HttpResponse::NotFound().body("`?id=` must select exactly one upstream"),
    }
}
