//! The operators' port: a JSON API that is served by control.
//!
//! The handlers only translate; control decides. The port is separate from the callers' port.
//! If an operators' key is set, as it must be unless the port is on loopback, each request must
//! present it. Every refusal is a JSON object whose `error` identifies it.

mod upload;

use crate::process::{
    control::{
        Accept,
        Control,
        Edit,
        GetBurn,
        GetConfig,
        GetConfirmation,
        GetDrains,
        GetHistory,
        GetInstances,
        GetShares,
        GetStatus, //
    },
    settings::Secret,
    shared::Shared, //
};
use actix::{
    dev::ToEnvelope,
    Addr,
    Handler,
    Message, //
};
use actix_web::{
    dev::{
        ServiceRequest,
        ServiceResponse, //
    },
    error::InternalError,
    guard,
    http::{
        header::{
            AUTHORIZATION,
            CONTENT_TYPE, //
        },
        StatusCode, //
    },
    middleware::Next,
    web,
    HttpRequest,
    HttpResponse, //
};
use base::Version;
use op::{
    AcceptRequest,
    Accepted,
    DrainRequest,
    Refusal,
    TargetRequest,
    CONTENT_TYPE_WITH_BLOCKS, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::{
    fmt,
    sync::Arc, //
};
use subtle::ConstantTimeEq;

/// Maximum size of a request body, which is a configuration with its block table.
const BODY_LIMIT_BYTES: usize = 256 << 20;
/// Default number of versions in a history.
const HISTORY_LIMIT: u64 = 20;

/// Address of control, as passed to handlers.
type ControlAddr = web::Data<Addr<Control>>;

#[derive(Deserialize)]
struct HistoryQuery {
    limit: Option<u64>,
}

#[derive(Deserialize)]
struct ConfirmedQuery {
    version: Version,
}

/// Registers the routes of the operators' port.
pub(crate) fn routes(control: Addr<Control>) -> impl FnOnce(&mut web::ServiceConfig) {
    move |config: &mut web::ServiceConfig| {
        let json = web::JsonConfig::default()
            .limit(BODY_LIMIT_BYTES)
            .error_handler(|error, _| bad_request(error));
        config
            .app_data(json)
            .app_data(web::QueryConfig::default().error_handler(|error, _| bad_request(error)))
            .app_data(web::PathConfig::default().error_handler(|error, _| bad_request(error)))
            .app_data(web::Data::new(control))
            .service(
                web::resource("/op/v1/accept")
                    .route(
                        web::post()
                            .guard(guard::Header(
                                CONTENT_TYPE.as_str(),
                                CONTENT_TYPE_WITH_BLOCKS,
                            ))
                            .to(accept_with_blocks),
                    )
                    .route(web::post().to(accept))
                    .default_service(web::to(method_not_allowed)),
            )
            .service(
                web::resource("/op/v1/drain")
                    .route(web::post().to(drain))
                    .route(web::get().to(|control| send_query(control, GetDrains)))
                    .default_service(web::to(method_not_allowed)),
            )
            .service(
                web::resource("/op/v1/target")
                    .route(web::post().to(target))
                    .default_service(web::to(method_not_allowed)),
            )
            .route("/op/v1/config", web::get().to(config_in_force))
            .route("/op/v1/config/{version}", web::get().to(config_of))
            .route("/op/v1/history", web::get().to(history))
            .route("/op/v1/confirmed", web::get().to(confirmed))
            .route(
                "/op/v1/status",
                web::get().to(|control| send_query(control, GetStatus)),
            )
            .route(
                "/op/v1/instances",
                web::get().to(|control| send_query(control, GetInstances)),
            )
            .route(
                "/op/v1/shares",
                web::get().to(|control| send_query(control, GetShares)),
            )
            .route(
                "/op/v1/burn",
                web::get().to(|control| send_query(control, GetBurn)),
            )
            .default_service(web::to(unknown_path));
    }
}

/// Middleware that refuses requests without the operators' key, if one is set.
pub(crate) async fn authenticate(
    shared: web::Data<Arc<Shared>>,
    request: ServiceRequest,
    next: Next<impl actix_web::body::MessageBody + 'static>,
) -> Result<ServiceResponse<impl actix_web::body::MessageBody>, actix_web::Error> {
    let is_authorized = match &shared.settings.operator_key {
        Some(key) => presents_key(&request, key),
        None => true,
    };
    if is_authorized {
        return next
            .call(request)
            .await
            .map(ServiceResponse::map_into_left_body);
    }
    let response = refusal_response(&Refusal::Unauthorized);
    Ok(request.into_response(response).map_into_right_body())
}

fn presents_key(request: &ServiceRequest, key: &Secret) -> bool {
    let given = request
        .headers()
        .get(AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    // Constant-time comparison, as the time of an early exit would reveal the length of a matching
    // prefix.
    given.is_some_and(|given| given.as_bytes().ct_eq(key.expose().as_bytes()).into())
}

async fn accept(control: ControlAddr, body: web::Json<AcceptRequest>) -> HttpResponse {
    let accept = Accept {
        request: body.into_inner(),
        blocks: None,
    };
    change(control, accept).await
}

async fn accept_with_blocks(control: ControlAddr, payload: web::Payload) -> HttpResponse {
    match upload::read(payload).await {
        Ok((accept, permit)) => {
            let answer = change(control, accept).await;
            drop(permit);
            answer
        }
        Err(refusal) => refusal_response(&refusal),
    }
}

async fn drain(control: ControlAddr, body: web::Json<DrainRequest>) -> HttpResponse {
    change(control, Edit::from(body.into_inner())).await
}

async fn target(control: ControlAddr, body: web::Json<TargetRequest>) -> HttpResponse {
    change(control, Edit::from(body.into_inner())).await
}

async fn config_in_force(control: ControlAddr) -> HttpResponse {
    try_send_query(control, GetConfig(None), stopping()).await
}

async fn config_of(control: ControlAddr, version: web::Path<Version>) -> HttpResponse {
    try_send_query(control, GetConfig(Some(version.into_inner())), stopping()).await
}

async fn history(control: ControlAddr, query: web::Query<HistoryQuery>) -> HttpResponse {
    let limit = query.limit.unwrap_or(HISTORY_LIMIT);
    try_send_query(control, GetHistory { limit }, stopping()).await
}

async fn confirmed(control: ControlAddr, query: web::Query<ConfirmedQuery>) -> HttpResponse {
    send_query(control, GetConfirmation(query.version)).await
}

/// Responds with control's reply to `message`.
async fn send_query<M, T>(control: ControlAddr, message: M) -> HttpResponse
where
    M: Message<Result = T> + Send + 'static,
    T: Send + Serialize + 'static,
    Control: Handler<M>,
    <Control as actix::Actor>::Context: ToEnvelope<Control, M>,
{
    match control.send(message).await {
        Ok(answer) => HttpResponse::Ok().json(answer),
        Err(_) => refusal_response(&stopping()),
    }
}

/// Responds with control's reply or refusal, or with `on_stop` if control stopped before replying.
async fn try_send_query<M, T>(control: ControlAddr, message: M, on_stop: Refusal) -> HttpResponse
where
    M: Message<Result = Result<T, Refusal>> + Send + 'static,
    T: Send + Serialize + 'static,
    Control: Handler<M>,
    <Control as actix::Actor>::Context: ToEnvelope<Control, M>,
{
    match control.send(message).await {
        Ok(Ok(answer)) => HttpResponse::Ok().json(answer),
        Ok(Err(refusal)) => refusal_response(&refusal),
        Err(_) => refusal_response(&on_stop),
    }
}

/// Responds to a request that changes the configuration.
async fn change<M>(control: ControlAddr, message: M) -> HttpResponse
where
    M: Message<Result = Result<Accepted, Refusal>> + Send + 'static,
    Control: Handler<M>,
    <Control as actix::Actor>::Context: ToEnvelope<Control, M>,
{
    // Control may have accepted the message and stopped before replying, so the commit may still
    // succeed.
    let on_stop = Refusal::Unknown {
        detail: "this daemon stopped before it replied".to_owned(),
    };
    try_send_query(control, message, on_stop).await
}

async fn method_not_allowed(request: HttpRequest) -> HttpResponse {
    refusal_response(&Refusal::BadRequest {
        detail: format!("{} has no {}", request.path(), request.method()),
    })
}

async fn unknown_path(request: HttpRequest) -> HttpResponse {
    refusal_response(&Refusal::NotFound {
        detail: format!("the operators' port has no {}", request.path()),
    })
}

fn bad_request(error: impl fmt::Display) -> actix_web::Error {
    let response = refusal_response(&Refusal::BadRequest {
        detail: error.to_string(),
    });
    InternalError::from_response(String::new(), response).into()
}

fn refusal_response(refusal: &Refusal) -> HttpResponse {
    let status = StatusCode::from_u16(refusal.status());
    HttpResponse::build(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)).json(refusal)
}

fn stopping() -> Refusal {
    Refusal::NotDone {
        detail: "this daemon is stopping".to_owned(),
    }
}
