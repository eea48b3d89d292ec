//! Operators' configurations, drains and targets: carries out the accept of crate `spec`.
//!
//! A drain or a target is the configuration in force with one edit, accepted like any other. Such
//! edits commute with most of what other operators do, so when one is raced it is made again on
//! what is in force by then. An operator's file does not commute: whoever raced is told by whom and
//! by what.

use crate::process::control::{
    config::{
        adopt::{
            read_heads,
            GetAdopted,
            Learn,
            Observe, //
        },
        history::{
            read_body,
            read_version, //
        }, //
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
use base::{
    ClassId,
    Version, //
};
use bytes::Bytes;
use bytestring::ByteString;
use op::{
    AcceptRequest,
    Accepted,
    AcceptedHow,
    DrainAction,
    DrainRequest,
    Refusal,
    TargetRequest, //
};
use plat::{
    HttpPlatform,
    Objects as _,
    Outcome,
    Reason,
    Table as _,
    Txn, //
};
use rand::RngExt;
use spec::{
    diff,
    parse,
    parse_blocks,
    AcceptAction,
    AcceptEvent,
    AcceptId,
    AcceptOutcome,
    Adopted,
    Answer,
    BlockChange,
    Body,
    CommitAnswer,
    Config,
    Digest,
    DrainTarget,
    Guards,
    Head,
    Proposal,
    RowKey,
    RowValue,
    Target, //
};
use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

/// Name of an operator's text in findings.
const FILE: &str = "configuration";
/// Name of an operator's blocks in findings.
const BLOCKS_FILE: &str = "blocks";
/// Longest accept id.
const ID_MAX_BYTES: usize = 128;
/// Times that a drain or a target is made anew on what another operator accepted meanwhile.
const EDIT_TRIES: u32 = 8;
/// Longest pause before that; the pause is random, so that two don't race in step.
const EDIT_PAUSE_MS: u64 = 100;

/// An operator's wish that a configuration be in force.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<Accepted, Refusal>")]
pub(crate) struct Accept(pub(crate) AcceptRequest);

/// An operator's wish that the configuration in force be changed in one respect.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Result<Accepted, Refusal>")]
pub(crate) struct Edit {
    accept_id: String,
    author: ByteString,
    change: EditChange,
}

/// What an edit changes.
#[derive(Clone, Debug)]
enum EditChange {
    Drain(DrainAction, DrainTarget),
    Target(ClassId, Target),
}

impl From<DrainRequest> for Edit {
    fn from(request: DrainRequest) -> Self {
        Self {
            accept_id: request.accept_id,
            author: request.author,
            change: EditChange::Drain(request.action, request.target),
        }
    }
}

impl From<TargetRequest> for Edit {
    fn from(request: TargetRequest) -> Self {
        let target = request.target();
        Self {
            accept_id: request.accept_id,
            author: request.author,
            change: EditChange::Target(request.class, target),
        }
    }
}

impl EditChange {
    /// `config` with the edit.
    fn apply(&self, config: &Config) -> Result<Config, Refusal> {
        let edited = match self {
            Self::Drain(DrainAction::Start, target) => config.with_drain(target),
            Self::Drain(DrainAction::Stop, target) => config.without_drain(target),
            Self::Target(class, target) => config.with_target(class, target),
        };
        edited.map_err(|faults| Refusal::Findings {
            findings: faults.iter().map(ToString::to_string).collect(),
        })
    }

    /// Whether `config` is as the edit would make it.
    fn holds(&self, config: &Config) -> bool {
        self.apply(config).is_ok_and(|edited| edited == *config)
    }
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

    fn handle(&mut self, Accept(request): Accept, ctx: &mut Self::Context) -> Self::Result {
        let driver = self.driver(ctx.address());
        Box::pin(driver.accept(request))
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
    async fn accept(mut self, request: AcceptRequest) -> Result<Accepted, Refusal> {
        let accept_id = accept_id(&request.accept_id)?;
        let AcceptRequest {
            author,
            base_version,
            text,
            blocks,
            ..
        } = request;
        let (config, blocks) = off_thread(move || read_files(&text, blocks.as_deref())).await??;
        let base = self.base(base_version).await?;
        let wanted = config.clone();
        let mut proposal = self
            .propose(accept_id, author, base.clone(), config, blocks)
            .await?;
        // On a base that is out of force the accept ends as raced, or as accepted long ago.
        proposal.base = base_version.unwrap_or(proposal.base);
        match self.run(&proposal).await? {
            AcceptOutcome::Accepted(head) => Ok(self.accepted(&proposal, head, base.as_deref())),
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
                    return Ok(self.accepted(&proposal, head, Some(&base)));
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

    /// Runs the accept to its end.
    async fn run(&mut self, proposal: &Proposal) -> Result<AcceptOutcome, Refusal> {
        let (mut accept, mut action) = spec::Accept::start(proposal.clone(), Guards::ALL);
        loop {
            let pause = accept.pause();
            if !pause.is_zero() {
                actix_rt::time::sleep(pause).await;
            }
            let event = match action {
                AcceptAction::Store { digest, bytes } => {
                    AcceptEvent::Stored(self.store(digest, bytes).await)
                }
                AcceptAction::Read { keys } => AcceptEvent::Rows(self.read(&keys).await),
                AcceptAction::Commit { checks, writes } => {
                    AcceptEvent::Commit(self.commit(checks, writes).await)
                }
                AcceptAction::Finish(outcome) => return Ok(outcome),
            };
            action = accept.handle(event).ok_or_else(|| Refusal::Unknown {
                detail: "the accept got an answer to nothing that it asked".to_owned(),
            })?;
        }
    }

    async fn store(&mut self, digest: Digest, bytes: Bytes) -> Answer<()> {
        let stored = self.platform.put(&digest.object_name(), bytes).await;
        self.answer("storing the configuration", stored)
    }

    async fn read(&mut self, keys: &[RowKey]) -> Option<Vec<Option<RowValue>>> {
        let keys: Vec<ByteString> = keys.iter().map(|key| key.to_string().into()).collect();
        let rows = match self.platform.read(&keys).await {
            Ok(rows) => rows,
            Err(error) => {
                self.last_failure = format!("reading the version in force: {error}");
                return None;
            }
        };
        let to_value = |row: plat::Row| RowValue {
            row_version: row.version,
            value: row.value,
        };
        Some(rows.into_iter().map(|row| row.map(to_value)).collect())
    }

    async fn commit(
        &mut self,
        checks: Vec<spec::Check>,
        writes: Vec<spec::Write>,
    ) -> Answer<CommitAnswer> {
        let txn = Txn {
            checks: checks.into_iter().map(to_check).collect(),
            writes: writes.into_iter().map(to_write).collect(),
        };
        let committed = self.platform.commit(txn).await;
        match self.answer("committing the version", committed) {
            Answer::Done(plat::Commit::Committed { .. }) => Answer::Done(CommitAnswer::Committed),
            Answer::Done(plat::Commit::Conflict { .. }) => Answer::Done(CommitAnswer::Conflict),
            Answer::NotDone => Answer::NotDone,
            Answer::Unknown => Answer::Unknown,
        }
    }

    fn answer<T>(&mut self, what: &str, outcome: Outcome<T>) -> Answer<T> {
        let mut failed = |why: Reason| self.last_failure = format!("{what}: {why}");
        match outcome {
            Outcome::Done(done) => Answer::Done(done),
            Outcome::NotDone(why) => {
                failed(why);
                Answer::NotDone
            }
            Outcome::Unknown(why) => {
                failed(why);
                Answer::Unknown
            }
        }
    }

    /// Tells control of a version that was made here, and the operator of its difference.
    fn accepted(&self, proposal: &Proposal, head: Head, base: Option<&Adopted>) -> Accepted {
        let version = head.version;
        let made = proposal.objects.last().map(|(_, body)| body.clone());
        let made = made.and_then(|body| body_of(&proposal.body, &body));
        let difference = match (base, made) {
            (Some(base), Some(made)) => difference(&Side::from(base), &Side::from(&made)),
            _ => Vec::new(),
        };
        self.control.do_send(Learn {
            head,
            objects: proposal.objects.clone(),
        });
        Accepted {
            version,
            how: AcceptedHow::New,
            difference,
        }
    }

    /// Answers a repeat, once it is known that its accept id stood for the same wish before.
    async fn repeated(
        &self,
        head: Head,
        holds: impl FnOnce(&Config) -> bool,
    ) -> Result<Accepted, Refusal> {
        let body = read_body(&self.platform, &head).await;
        // Without the store the accept id alone has to do.
        if body.is_ok_and(|body| !holds(&body.config)) {
            return Err(Refusal::Reused {
                version: head.version,
                author: head.author,
            });
        }
        Ok(Accepted {
            version: head.version,
            how: AcceptedHow::Repeated,
            difference: Vec::new(),
        })
    }

    /// Tells who came first, and what he changed since the base.
    async fn raced(
        &self,
        base_version: Version,
        head: Option<Head>,
        base: Option<Arc<Adopted>>,
    ) -> Refusal {
        let Some(head) = head.filter(|head| head.version > base_version) else {
            return Refusal::NotFound {
                detail: format!("there is no version {base_version} to build on"),
            };
        };
        let before = match base.filter(|base| base.version() == base_version) {
            Some(base) => Some(Side::from(&*base)),
            None => self.side_of(base_version).await,
        };
        let after = read_body(&self.platform, &head).await.ok();
        let steps = match (before, after) {
            (Some(before), Some(after)) => difference(&before, &Side::from(&after)),
            _ => Vec::new(),
        };
        Refusal::Raced {
            version: head.version,
            author: head.author,
            difference: steps,
        }
    }

    async fn side_of(&self, version: Version) -> Option<Side> {
        let head = read_version(&self.platform, version).await.ok()?;
        let body = read_body(&self.platform, &head).await.ok()?;
        Some(Side::from(&body))
    }

    fn not_done(&self) -> Refusal {
        Refusal::NotDone {
            detail: self.last_failure.clone(),
        }
    }

    fn unknown(&self) -> Refusal {
        Refusal::Unknown {
            detail: self.last_failure.clone(),
        }
    }
}

/// One side of a difference.
struct Side {
    config: Arc<Config>,
    blocks: Option<Digest>,
}

impl From<&Adopted> for Side {
    fn from(adopted: &Adopted) -> Self {
        Self {
            config: Arc::clone(adopted.config()),
            blocks: adopted.block_object(),
        }
    }
}

impl From<&Body> for Side {
    fn from(body: &Body) -> Self {
        Self {
            config: Arc::clone(&body.config),
            blocks: body.blocks,
        }
    }
}

/// Steps from one version to another, as text.
fn difference(before: &Side, after: &Side) -> Vec<String> {
    let changes = diff(&before.config, &after.config);
    let mut steps: Vec<String> = changes.iter().map(ToString::to_string).collect();
    if before.blocks != after.blocks {
        steps.push("~ block table".to_owned());
    }
    steps
}

fn body_of(digest: &Digest, bytes: &[u8]) -> Option<Body> {
    match spec::Object::read(digest, bytes) {
        Ok(spec::Object::Body(body)) => Some(body),
        _ => None,
    }
}

/// Reads an operator's files.
fn read_files(text: &str, blocks: Option<&str>) -> Result<(Config, BlockChange), Refusal> {
    let config = parse(FILE, text);
    let blocks = match blocks {
        Some(blocks) => parse_blocks(BLOCKS_FILE, blocks),
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

fn to_check(check: spec::Check) -> plat::Check {
    let key = check.key.to_string().into();
    match check.row_version {
        Some(version) => plat::Check::Version { key, version },
        None => plat::Check::Absent { key },
    }
}

fn to_write(write: spec::Write) -> plat::Write {
    plat::Write::Put {
        key: write.key.to_string().into(),
        value: write.value,
    }
}
