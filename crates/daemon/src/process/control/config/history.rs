//! Reads current and earlier versions of the configuration for operators.

use crate::process::control::{
    config::adopt::{
        read_head,
        read_heads, //
    },
    Control, //
};
use actix::{
    Handler,
    Message,
    ResponseFuture, //
};
use base::Version;
use op::{
    ConfigResponse,
    Refusal, //
};
use plat::{
    HttpPlatform,
    Objects as _,
    ReadError, //
};
use spec::{
    Adopted,
    Body,
    Head,
    Object,
    RowKey, //
};
use std::rc::Rc;

/// Maximum number of versions in one answer.
const HISTORY_MAX: u64 = 1000;

/// Requests a version; without a number, the one in force at this daemon.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Result<ConfigResponse, Refusal>")]
pub(crate) struct GetConfig(pub(crate) Option<Version>);

/// Requests the heads of the newest versions, newest first.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Result<Vec<Head>, Refusal>")]
pub(crate) struct GetHistory {
    pub(crate) limit: u64,
}

impl Handler<GetConfig> for Control {
    type Result = ResponseFuture<Result<ConfigResponse, Refusal>>;

    fn handle(
        &mut self,
        GetConfig(requested): GetConfig,
        _ctx: &mut Self::Context,
    ) -> Self::Result {
        let adopted = self.adopted().cloned();
        let in_force =
            adopted.filter(|adopted| requested.is_none_or(|version| version == adopted.version()));
        let platform = Rc::clone(&self.platform);
        Box::pin(async move {
            match (in_force, requested) {
                (Some(adopted), _) => Ok(answer_of(&adopted)),
                (None, None) => Err(Refusal::NotFound {
                    detail: "no configuration is in force at this daemon yet".to_owned(),
                }),
                (None, Some(version)) => read_config(&platform, version).await,
            }
        })
    }
}

impl Handler<GetHistory> for Control {
    type Result = ResponseFuture<Result<Vec<Head>, Refusal>>;

    fn handle(&mut self, request: GetHistory, _ctx: &mut Self::Context) -> Self::Result {
        let platform = Rc::clone(&self.platform);
        Box::pin(async move { read_history(&platform, request.limit).await })
    }
}

fn answer_of(adopted: &Adopted) -> ConfigResponse {
    ConfigResponse {
        head: adopted.head().clone(),
        text: adopted.config().to_string(),
        blocks: adopted.block_object(),
    }
}

async fn read_config(platform: &HttpPlatform, version: Version) -> Result<ConfigResponse, Refusal> {
    let head = read_version(platform, version).await?;
    let body = read_body(platform, &head).await?;
    Ok(ConfigResponse {
        head,
        text: body.config.to_string(),
        blocks: body.blocks,
    })
}

async fn read_history(platform: &HttpPlatform, limit: u64) -> Result<Vec<Head>, Refusal> {
    let newest = read_head(platform).await.map_err(read_failed)?;
    let newest = newest.map_or(0, |head| head.version);
    let oldest = newest.saturating_sub(limit.min(HISTORY_MAX)) + 1;
    let keys: Vec<RowKey> = (oldest..=newest).rev().map(RowKey::Version).collect();
    let heads = read_heads(platform, &keys).await.map_err(read_failed)?;
    Ok(heads.into_iter().flatten().collect())
}

/// Reads the head of a version.
pub(super) async fn read_version(
    platform: &HttpPlatform,
    version: Version,
) -> Result<Head, Refusal> {
    let read = read_heads(platform, &[RowKey::Version(version)]).await;
    let head = read.map_err(read_failed)?.pop().flatten();
    head.ok_or_else(|| Refusal::NotFound {
        detail: format!("there is no version {version}"),
    })
}

/// Reads the body that a head refers to from the store.
pub(super) async fn read_body(platform: &HttpPlatform, head: &Head) -> Result<Body, Refusal> {
    let got = platform.get(&head.digest.object_name()).await;
    let bytes = got.map_err(read_failed)?.ok_or_else(|| Refusal::NotFound {
        detail: format!("the store lacks the body of version {}", head.version),
    })?;
    match Object::read(&head.digest, &bytes) {
        Ok(Object::Body(body)) => Ok(body),
        Ok(Object::Blocks(_)) | Err(_) => Err(Refusal::NotFound {
            detail: format!("the body of version {} can't be read", head.version),
        }),
    }
}

fn read_failed(error: ReadError) -> Refusal {
    Refusal::NotDone {
        detail: format!("the platform can't be read: {error}"),
    }
}
