//! Operators' configurations, drains and targets: the accepts of crate `spec`.
//!
//! A drain or a target is the configuration in force with one edit, accepted like any other. Such
//! edits commute with most of what other operators do, so when one is raced it is made again on
//! what is in force by then. An operator's file does not commute: whoever raced is told by whom and
//! by what.
//!
//! - `edit`: what drains and targets change.
//! - `run`: the state machine's requests to the platform.
//! - `tell`: what the operator is told.

mod edit;
mod run;
mod tell;

pub(crate) use self::edit::Edit;

use crate::process::control::{
    config::adopt::{
        read_heads,
        GetAdopted,
        Observe, //
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
    AcceptRequest,
    Accepted,
    AcceptedHow,
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

/// Name of an operator's text in findings.
const FILE: &str = "configuration";
/// Longest accept id.
const ID_MAX_BYTES: usize = 128;
/// Times that a drain or a target is made anew on what another operator accepted meanwhile.
const EDIT_TRIES: u32 = 8;
/// Longest pause before that; the pause is random, so that two don't race in step.
const EDIT_PAUSE_MS: u64 = 100;

/// An operator's wish that a configuration be in force.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<Accepted, Refusal>")]
pub(crate) struct Accept {
    pub(crate) request: AcceptRequest,
    /// Blocks that were read already, in place of those in the request.
    pub(crate) blocks: Option<BlockChange>,
}

impl Accept {
    /// Name of an operator's blocks in findings.
    pub(crate) const BLOCKS_FILE: &'static str = "blocks";
}

/// Where the accepts of one request go.
struct Driver {
    platform: Rc<HttpPlatform>,
    control: Addr<Control>,
    accepted_at_ms: u64,
    /// Why the platform failed last, for whoever is told that nothing was done.
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
        let accept_id = accept_id(&request.accept_id)?;
        let AcceptRequest {
            author,
            base_version,
            text,
            blocks: blocks_text,
            ..
        } = request;
        let read = off_thread(move || read_files(&text, blocks_text.as_deref()));
        let (config, inline_blocks) = read.await??;
        let blocks = blocks.unwrap_or(inline_blocks);
        let base = self.base(base_version).await?;
        let wanted = config.clone();
        let table = match &blocks {
            // Cloning shares all that is large.
            BlockChange::Replace(table) => Some(Arc::new(table.clone())),
            BlockChange::Keep | BlockChange::Apply(_) => None,
        };
        let mut proposal = self
            .propose(accept_id, author, base.clone(), config, blocks)
            .await?;
        // On a base that is out of force the accept ends as raced, or as accepted long ago.
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
        let accept_id = accept_id(&edit.accept_id)?;
        for _ in 0..EDIT_TRIES {
            let (base, earlier) = self.observe(accept_id).await?;
            if let Some(head) = earlier {
                return self
                    .repeated(head, |config| edit.change.holds(config))
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
                    how: AcceptedHow::Unchanged,
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
                // Read and told from other accepts at the next turn.
                AcceptOutcome::AlreadyAccepted(_) => {}
                AcceptOutcome::Raced { .. } => {
                    let pause_ms = rand::rng().random_range(0..EDIT_PAUSE_MS);
                    actix_rt::time::sleep(Duration::from_millis(pause_ms)).await;
                }
                AcceptOutcome::NotAccepted => return Err(self.not_done()),
                AcceptOutcome::Unknown => return Err(self.unknown()),
            }
        }
        Err(Refusal::NotDone {
            detail: format!("other operators' accepts came first {EDIT_TRIES} times"),
        })
    }

    /// The version to build on: the one that is named if it is in force here, else the head's.
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
        self.control.send(GetAdopted).await.map_err(|_| stopped())
    }

    /// The version in force by the table, adopted here, and what `accept_id` made earlier.
    async fn observe(
        &mut self,
        accept_id: AcceptId,
    ) -> Result<(Option<Arc<Adopted>>, Option<Head>), Refusal> {
        let keys = [RowKey::Head, RowKey::Accept(accept_id)];
        let (base, mut others) = self.observe_head(&keys).await?;
        Ok((base, others.pop().flatten()))
    }

    /// Reads rows of which the first is the head's, and waits until that head is in force here.
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
        let adopted = self.control.send(Observe(head)).await;
        let adopted = adopted.map_err(|_| stopped())?;
        // What another daemon accepted a moment ago may be in force here already.
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
        let proposal = off_thread(move || {
            Proposal::new(accept_id, author, at_ms, base.as_deref(), config, blocks)
        });
        proposal.await?.map_err(|error| Refusal::Findings {
            findings: vec![error.to_string()],
        })
    }
}

/// Reads an operator's files.
fn read_files(text: &str, blocks: Option<&str>) -> Result<(Config, BlockChange), Refusal> {
    let config = parse(FILE, text);
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

/// Id of an accept by the name that the operator gave it: its 32 digits, or any other short text.
fn accept_id(name: &str) -> Result<AcceptId, Refusal> {
    if name.is_empty() || name.len() > ID_MAX_BYTES {
        return Err(Refusal::BadRequest {
            detail: format!("`accept_id` must have 1 to {ID_MAX_BYTES} bytes"),
        });
    }
    Ok(name.parse().unwrap_or_else(|_| {
        let hash = blake3::hash(name.as_bytes());
        let (first, _) = hash.as_bytes().split_at(size_of::<u128>());
        AcceptId(u128::from_be_bytes(
            first.try_into().expect("as long as an id"),
        ))
    }))
}

/// Runs what takes a while on another thread.
async fn off_thread<T: Send + 'static>(
    work: impl FnOnce() -> T + Send + 'static,
) -> Result<T, Refusal> {
    let done = actix_rt::task::spawn_blocking(work).await;
    done.map_err(|_| stopped())
}

fn stopped() -> Refusal {
    Refusal::NotDone {
        detail: "this daemon stops".to_owned(),
    }
}
