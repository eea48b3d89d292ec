//! Accepts configurations, drains and targets submitted by operators.
//!
//! A drain or a target is an edit of the configuration in force, accepted like any other
//! configuration. Such edits commute with most concurrent changes, so an edit that loses a race is
//! reapplied to the new version in force. A full configuration file does not commute: its operator
//! is told who won the race and what changed.
//!
//! - `edit`: the changes made by drains and targets.
//! - `run`: platform requests of the accept state machine.
//! - `response`: responses to the operator.

mod edit;
mod response;
mod run;

pub(crate) use self::edit::Edit;

use crate::process::control::{
    config::adopt::{
        read_heads,
        AwaitHead, //
        GetAdopted,
    },
    Control,
};
use actix::{
    Addr,
    AsyncContext,
    Handler,
    Message,
    ResponseFuture, //
};
use base::Version;
use bytestring::ByteString;
use op::{
    AcceptEffect,
    AcceptRequest,
    Accepted,
    Refusal, //
};
use plat::HttpPlatform;
use rand::RngExt;
use spec::{
    parse,
    parse_blocks,
    AcceptId,
    AcceptOutcome,
    Adopted,
    BlockChange,
    Config,
    Head,
    Proposal,
    RowKey, //
};
use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

/// File name of an operator's configuration in findings.
const CONFIG_FILE: &str = "configuration";
/// Maximum length of an accept id.
const ID_MAX_BYTES: usize = 128;
/// Maximum number of attempts to apply a drain or a target when other accepts win the race.
const EDIT_ATTEMPTS: u32 = 8;
/// Maximum backoff before a retry; the backoff is random, so that two operators don't race in
/// lockstep.
const EDIT_BACKOFF_MS: u64 = 100;

/// An operator's request to put a configuration in force.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<Accepted, Refusal>")]
pub(crate) struct Accept {
    pub(crate) request: AcceptRequest,
    /// Blocks that are parsed already; they replace those in the request.
    pub(crate) blocks: Option<BlockChange>,
}

impl Accept {
    /// File name of an operator's blocks in findings.
    pub(crate) const BLOCKS_FILE: &'static str = "blocks";
}

/// Context in which one request's accepts run.
struct Driver {
    platform: Rc<HttpPlatform>,
    control: Addr<Control>,
    accepted_at_ms: u64,
    /// Last platform failure, reported when an accept fails.
    last_failure: String,
}

impl Control {
    fn driver(&self, control: Addr<Self>) -> Driver {
        Driver {
            platform: Rc::clone(&self.platform),
            control,
            accepted_at_ms: self.shared.clock.wall_ms(self.now()),
            last_failure: String::new(),
        }
    }
}

impl Handler<Accept> for Control {
    type Result = ResponseFuture<Result<Accepted, Refusal>>;

    fn handle(&mut self, accept: Accept, ctx: &mut Self::Context) -> Self::Result {
        let driver = self.driver(ctx.address());
        Box::pin(driver.accept(accept))
    }
}

impl Handler<Edit> for Control {
    type Result = ResponseFuture<Result<Accepted, Refusal>>;

    fn handle(&mut self, edit: Edit, ctx: &mut Self::Context) -> Self::Result {
        let driver = self.driver(ctx.address());
        Box::pin(driver.edit(edit))
    }
}

impl Driver {
    async fn accept(mut self, accept: Accept) -> Result<Accepted, Refusal> {
        let Accept { request, blocks } = accept;
        let accept_id = parse_accept_id(&request.accept_id)?;
        let AcceptRequest {
            author,
            base_version,
            text,
            blocks: blocks_text,
            ..
        } = request;
        let read = run_blocking(move || parse_files(&text, blocks_text.as_deref()));
        let (config, inline_blocks) = read.await??;
        let blocks = blocks.unwrap_or(inline_blocks);
        let base = self.base(base_version).await?;
        let wanted = config.clone();
        let table = match &blocks {
            // The clone shares all large parts.
            BlockChange::Replace(table) => Some(Arc::new(table.clone())),
            BlockChange::Keep | BlockChange::Apply(_) => None,
        };
        let mut proposal = self
            .propose(accept_id, author, base.clone(), config, blocks)
            .await?;
        // With an outdated base the accept ends as raced, or as already accepted.
        proposal.base = base_version.unwrap_or(proposal.base);
        match self.run(&proposal).await? {
            AcceptOutcome::Accepted(head) => {
                Ok(self.accepted(&proposal, head, base.as_deref(), table))
            }
            AcceptOutcome::AlreadyAccepted(head) => {
                self.repeated(head, |config| *config == wanted).await
            }
            AcceptOutcome::Raced { head } => Err(self.raced(proposal.base, head, base).await),
            AcceptOutcome::NotAccepted => Err(self.not_done()),
            AcceptOutcome::Unknown => Err(self.unknown()),
        }
    }

    async fn edit(mut self, edit: Edit) -> Result<Accepted, Refusal> {
        let accept_id = parse_accept_id(&edit.accept_id)?;
        for _ in 0..EDIT_ATTEMPTS {
            let (base, earlier) = self.observe(accept_id).await?;
            if let Some(head) = earlier {
                return self
                    .repeated(head, |config| edit.change.is_satisfied_by(config))
                    .await;
            }
            let Some(base) = base else {
                return Err(Refusal::NotDone {
                    detail: "no configuration is in force yet".to_owned(),
                });
            };
            let config = edit.change.apply(base.config())?;
            if config == **base.config() {
                return Ok(Accepted {
                    version: base.version(),
                    how: AcceptEffect::Unchanged,
                    difference: Vec::new(),
                });
            }
            let author = edit.author.clone();
            let keep = BlockChange::Keep;
            let proposal = self
                .propose(accept_id, author, Some(Arc::clone(&base)), config, keep)
                .await?;
            match self.run(&proposal).await? {
                AcceptOutcome::Accepted(head) => {
                    return Ok(self.accepted(&proposal, head, Some(&base), None));
                }
                // The next iteration reads the head and determines whether this request made it.
                AcceptOutcome::AlreadyAccepted(_) => {}
                AcceptOutcome::Raced { .. } => {
                    let backoff_ms = rand::rng().random_range(0..EDIT_BACKOFF_MS);
                    actix_rt::time::sleep(Duration::from_millis(backoff_ms)).await;
                }
                AcceptOutcome::NotAccepted => return Err(self.not_done()),
                AcceptOutcome::Unknown => return Err(self.unknown()),
            }
        }
        Err(Refusal::NotDone {
            detail: format!("lost the race against other operators' accepts {EDIT_ATTEMPTS} times"),
        })
    }

    /// Returns the base version: the version in force here if it is at least `wanted`, else that of
    /// the head.
    async fn base(&mut self, wanted: Option<Version>) -> Result<Option<Arc<Adopted>>, Refusal> {
        let adopted = self.adopted().await?;
        let version = adopted.as_ref().map_or(0, |adopted| adopted.version());
        if wanted.is_some_and(|wanted| wanted <= version) {
            return Ok(adopted);
        }
        self.observe_head(&[RowKey::Head])
            .await
            .map(|(base, _)| base)
    }

    async fn adopted(&self) -> Result<Option<Arc<Adopted>>, Refusal> {
        self.control.send(GetAdopted).await.map_err(|_| stopping())
    }

    /// Returns the table's version, adopted here, and the head that `accept_id` created earlier.
    async fn observe(
        &mut self,
        accept_id: AcceptId,
    ) -> Result<(Option<Arc<Adopted>>, Option<Head>), Refusal> {
        let keys = [RowKey::Head, RowKey::Accept(accept_id)];
        let (base, mut others) = self.observe_head(&keys).await?;
        Ok((base, others.pop().flatten()))
    }

    /// Reads rows, the first of which is the head's, and waits until that head is in force here.
    async fn observe_head(
        &mut self,
        keys: &[RowKey],
    ) -> Result<(Option<Arc<Adopted>>, Vec<Option<Head>>), Refusal> {
        let read = read_heads(&self.platform, keys).await;
        let mut heads = read.map_err(|error| Refusal::NotDone {
            detail: format!("the version in force can't be read: {error}"),
        })?;
        let Some(head) = heads.remove(0) else {
            return Ok((None, heads));
        };
        let version = head.version;
        let adopted = self.control.send(AwaitHead(head)).await;
        let adopted = adopted.map_err(|_| stopping())?;
        // A version that another daemon accepted meanwhile may already be in force here.
        match adopted.filter(|adopted| adopted.version() >= version) {
            Some(adopted) => Ok((Some(adopted), heads)),
            None => Err(Refusal::NotDone {
                detail: format!("version {version} is not in force at this daemon yet"),
            }),
        }
    }

    async fn propose(
        &self,
        accept_id: AcceptId,
        author: ByteString,
        base: Option<Arc<Adopted>>,
        config: Config,
        blocks: BlockChange,
    ) -> Result<Proposal, Refusal> {
        let at_ms = self.accepted_at_ms;
        let proposal = run_blocking(move || {
            Proposal::new(accept_id, author, at_ms, base.as_deref(), config, blocks)
        });
        proposal.await?.map_err(|error| Refusal::Findings {
            findings: vec![error.to_string()],
        })
    }
}

/// Parses an operator's files.
fn parse_files(text: &str, blocks: Option<&str>) -> Result<(Config, BlockChange), Refusal> {
    let config = parse(CONFIG_FILE, text);
    let blocks = match blocks {
        Some(blocks) => parse_blocks(Accept::BLOCKS_FILE, blocks),
        None => Ok(BlockChange::Keep),
    };
    match (config, blocks) {
        (Ok(config), Ok(blocks)) => Ok((config, blocks)),
        (config, blocks) => {
            let lists = [config.err(), blocks.err()];
            let findings = lists.into_iter().flatten().flatten();
            Err(Refusal::Findings {
                findings: findings.map(|finding| finding.to_string()).collect(),
            })
        }
    }
}

/// Parses an accept id: its 32 digits, or a hash of any other short text.
fn parse_accept_id(name: &str) -> Result<AcceptId, Refusal> {
    if name.is_empty() || name.len() > ID_MAX_BYTES {
        return Err(Refusal::BadRequest {
            detail: format!("`accept_id` must have 1 to {ID_MAX_BYTES} bytes"),
        });
    }
    Ok(name.parse().unwrap_or_else(|_| {
        let hash = blake3::hash(name.as_bytes());
        let (first, _) = hash.as_bytes().split_at(size_of::<u128>());
        AcceptId(u128::from_be_bytes(
            first
                .try_into()
                .expect("the slice has the size of an accept id"),
        ))
    }))
}

/// Runs blocking work on another thread.
async fn run_blocking<T: Send + 'static>(
    work: impl FnOnce() -> T + Send + 'static,
) -> Result<T, Refusal> {
    let done = actix_rt::task::spawn_blocking(work).await;
    done.map_err(|_| stopping())
}

fn stopping() -> Refusal {
    Refusal::NotDone {
        detail: "this daemon is stopping".to_owned(),
    }
}
