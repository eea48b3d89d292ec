//! The accepted configuration: reads its head, adopts higher versions, accepts new ones.

use crate::process::{
    control::Control,
    stop::Stage, //
};
use actix::{
    ActorFutureExt,
    AsyncContext,
    Context,
    Handler,
    Message,
    ResponseFuture,
    WrapFuture, //
};
use base::{
    InstanceId,
    Version, //
};
use bytes::Bytes;
use bytestring::ByteString;
use eyre::{
    bail,
    OptionExt, //
};
use peer::{
    ConfigBody,
    ConfigWant, //
};
use plat::{
    Check,
    Commit,
    HttpPlatform,
    Objects,
    Outcome,
    Row,
    Table,
    Txn,
    Write, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use spec::Config;
use std::{
    rc::Rc,
    sync::Arc, //
};

/// Row that holds the head.
const HEAD: &str = "head";

#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Head {
    version: Version,
    digest: String,
    accept_id: String,
    author: ByteString,
}

/// Operators' wish that a configuration be in force.
#[derive(Clone, Debug, Deserialize, Message)]
#[rtype(result = "Result<Accepted, AcceptError>")]
pub(crate) struct Accept {
    pub(crate) accept_id: String,
    pub(crate) author: ByteString,
    pub(crate) text: String,
}

/// A configuration was accepted.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Accepted {
    pub(crate) version: Version,
}

/// A configuration was not accepted.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub(crate) enum AcceptError {
    /// The configuration is wrong.
    Findings { findings: Vec<String> },
    /// Another one was accepted meanwhile.
    Raced {
        version: Version,
        author: ByteString,
    },
    /// Nothing was changed.
    NotDone { why: String },
    /// It may have been accepted.
    Unknown { why: String },
}

impl Control {
    /// Reads the head now and again after its interval.
    pub(super) fn read_head(&mut self, ctx: &mut Context<Self>) {
        let platform = Rc::clone(&self.platform);
        let known = self.config.as_ref().map_or(0, |(version, _)| *version);
        let read = async move { fetch_newer(&platform, known).await };
        ctx.spawn(read.into_actor(self).map(|read, control, ctx| {
            control.note_call("head", read.is_ok());
            if let Ok(Some((version, config))) = read {
                control.adopt(version, config);
            }
            let interval = control.jittered(control.shared.settings.terms.head);
            ctx.run_later(interval, Self::read_head);
        }));
    }

    fn adopt(&mut self, version: Version, config: Config) {
        spdlog::info!("configuration in force", kv: { version });
        self.config = Some((version, Arc::new(config)));
        if self.stage == Stage::Starting {
            self.stage = Stage::Serving;
        }
        self.publish();
    }
}

async fn fetch_newer(
    platform: &HttpPlatform,
    known: Version,
) -> eyre::Result<Option<(Version, Config)>> {
    let Some((_, head)) = read_head(platform).await? else {
        return Ok(None);
    };
    if head.version <= known {
        return Ok(None);
    }
    let body = platform
        .get(&object(&head.digest))
        .await?
        .ok_or_eyre("the head's object is missing")?;
    if blake3::hash(&body).to_hex().as_str() != head.digest {
        bail!("the object does not match its digest");
    }
    let config = spec::parse("accepted", std::str::from_utf8(&body)?)?;
    Ok(Some((head.version, config)))
}

async fn read_head(platform: &HttpPlatform) -> eyre::Result<Option<(Row, Head)>> {
    let rows = platform.read(&[HEAD.into()]).await?;
    let Some(row) = rows.into_iter().next().flatten() else {
        return Ok(None);
    };
    let head = serde_json::from_str(&row.value)?;
    Ok(Some((row, head)))
}

fn object(digest: &str) -> String {
    format!("config-{digest}")
}

impl Handler<Accept> for Control {
    type Result = ResponseFuture<Result<Accepted, AcceptError>>;

    fn handle(&mut self, accept: Accept, _ctx: &mut Self::Context) -> Self::Result {
        let platform = Rc::clone(&self.platform);
        Box::pin(async move { run_accept(&platform, accept).await })
    }
}

async fn run_accept(platform: &HttpPlatform, accept: Accept) -> Result<Accepted, AcceptError> {
    let config = spec::parse("config", &accept.text).map_err(|findings| AcceptError::Findings {
        findings: findings.iter().map(ToString::to_string).collect(),
    })?;
    let not_done = |why: String| AcceptError::NotDone { why };
    let body = config.to_string();
    let digest = blake3::hash(body.as_bytes()).to_hex().to_string();
    match platform.put(&object(&digest), Bytes::from(body)).await {
        Outcome::Done(()) => {}
        Outcome::NotDone(why) | Outcome::Unknown(why) => return Err(not_done(why.to_string())),
    }
    let head = read_head(platform)
        .await
        .map_err(|err| not_done(err.to_string()))?;
    let version = head.as_ref().map_or(0, |(_, head)| head.version) + 1;
    let check = match &head {
        Some((row, _)) => Check::Version {
            key: HEAD.into(),
            version: row.version,
        },
        None => Check::Absent { key: HEAD.into() },
    };
    let next = Head {
        version,
        digest,
        accept_id: accept.accept_id,
        author: accept.author,
    };
    let value = serde_json::to_string(&next).expect("a head is plain data");
    let txn = Txn {
        checks: vec![check],
        writes: vec![Write::Put {
            key: HEAD.into(),
            value: value.into(),
        }],
    };
    match platform.commit(txn).await {
        Outcome::Done(Commit::Committed { .. }) => Ok(Accepted { version }),
        Outcome::Done(Commit::Conflict { .. }) => Err(AcceptError::Raced {
            version,
            author: ByteString::new(),
        }),
        Outcome::NotDone(why) => Err(not_done(why.to_string())),
        Outcome::Unknown(why) => Err(AcceptError::Unknown {
            why: why.to_string(),
        }),
    }
}

impl Control {
    /// Takes another daemon's word that it has `version` in force.
    pub(super) fn offer_version(&mut self, _from: &InstanceId, _version: Version) {}

    /// Answers a request for a configuration.
    pub(super) fn on_config_want(&mut self, _from: &InstanceId, _want: &ConfigWant) {}

    /// Takes a part of a configuration.
    pub(super) fn on_config_part(
        &mut self,
        _from: &InstanceId,
        _part: ConfigBody,
        _ctx: &mut Context<Self>,
    ) {
    }
}
