//! Everything that an entry writes to its log.

use crate::request::{
    RequestEnded,
    SendFailed, //
};
use base::{
    DomainId,
    InstanceId,
    RegionId,
    ServiceId,
    UpstreamId,
    Version, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// How much attention a line asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// A fault that an operator has to look at.
    Error,
    /// Something that should not be.
    Warn,
    /// A decision or a change of state.
    Info,
}

/// One event.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
#[expect(
    missing_docs,
    reason = "fields are named after what they hold, with their unit"
)]
pub enum Event {
    /// The process has started.
    Started {
        region: RegionId,
        failure_domain: DomainId,
        callers_addr: String,
    },
    /// The traffic thread could not serve its ports; the process ends.
    PortsNotServed { error: String },
    /// A signal asked for the settings to be read again.
    ReloadAsked,
    /// Changed settings are in force, but for these fields, which need a restart.
    SettingsInForce { after_restart: String },
    /// Changed settings have findings; those before stay in force.
    SettingsRefused { findings: Vec<String> },
    /// The planned stop has begun.
    Stopping { under_way: usize },
    /// The process ends; requests that are still under way are cut.
    Stopped { under_way: usize, took_ms: u64 },

    /// Calls for a table of the store fail.
    StoreLost { table: String, error: String },
    /// They succeed again.
    StoreRegained { table: String, outage_ms: u64 },
    /// A whole table was read.
    TableRead {
        table: String,
        rows: usize,
        position: u64,
    },
    /// The store has forgotten the changes that were to come next: the table is read anew.
    HistoryGone { table: String, position: u64 },
    /// A row can't be read. One of operators leaves what was known in force; one of an upstream names none.
    RowUnreadable { row: String, findings: Vec<String> },
    /// This entry's row could not be removed at its planned stop; others remove it later.
    OwnRowNotRemoved,
    /// The row of an entry that is long lost was to be removed.
    LostEntryRow { row: String, outcome: String },

    /// A version of the routes is in force.
    RoutesInForce { version: Version, from: String },
    /// An operator began or ended the evacuation of a failure domain.
    Evacuation {
        failure_domain: DomainId,
        on: bool,
        row_version: u64,
    },
    /// Evacuations ended whose rows were gone when the table was read anew.
    EvacuationsEnded { position: u64 },
    /// Another entry told of evacuations that changed the picture.
    EvacuationsHeard { from: InstanceId },
    /// Another entry told of upstreams that changed the picture.
    UpstreamsHeard { from: InstanceId },
    /// The store lists an upstream.
    UpstreamListed {
        upstream: UpstreamId,
        service: ServiceId,
        leaving: bool,
        cold_left_ms: u64,
        row_version: u64,
    },
    /// The store lists an upstream no more.
    UpstreamRemoved {
        upstream: UpstreamId,
        row_version: u64,
        after_outage: bool,
    },
    /// Leases of cold upstreams were claimed: who holds one sends to it, and nobody else. The version is that of the
    /// rows if they were granted.
    ColdLeases {
        outcome: String,
        upstreams: Vec<UpstreamId>,
        row_version: u64,
        took_ms: u64,
    },
    /// Rows of leases that nobody has renewed for long were to be removed.
    ColdLeasesRemoved { rows: usize, outcome: String },
    /// An upstream failed and gets nothing for a while.
    UpstreamPassedOver {
        upstream: UpstreamId,
        service: ServiceId,
        away_ms: u64,
        not_there: bool,
    },
    /// An upstream that was passed over has answered.
    UpstreamBack {
        upstream: UpstreamId,
        service: ServiceId,
    },
    /// An upstream crashed while it had a request in flight.
    UpstreamCrashed {
        id: String,
        fingerprint: String,
        upstream: UpstreamId,
        service: ServiceId,
    },
    /// A request was put in quarantine because of the number of upstreams it crashed; `from` is the entry that sent the
    /// report that reached the limit, or `store` if the report was read from the store.
    RequestQuarantined { fingerprint: String, from: String },
    /// This entry tried to remove the row of a quarantined request whose crashes have all expired; `outcome` is the
    /// result of the store call.
    CrashRowRemoved { row: String, outcome: String },
    /// The limit that an upstream states on requests per second from all entries combined has changed; `None` means no
    /// limit.
    UpstreamLimit {
        upstream: UpstreamId,
        service: ServiceId,
        limit_per_s: Option<f64>,
    },
    /// An upstream said that it leaves, or another one has its address.
    UpstreamClosed {
        upstream: UpstreamId,
        service: ServiceId,
        why: String,
    },
    /// The budget of sends beyond a request's first is spent; said once a second and service.
    RetriesSpent { service: ServiceId },

    /// The rows of the entries could not be read.
    EntriesNotRead { error: String },
    /// The port for other entries could not be opened.
    NoPeersPort { error: String },
    /// A session to another entry stands.
    EntryConnected { entry: InstanceId, incarnation: u64 },
    /// A session to another entry has ended.
    EntryLost { entry: InstanceId, why: String },
    /// A connection to the port for other entries did not prove itself.
    StrangerRefused { addr: String, why: String },
    /// A new entry has taken its hub's picture in the place of the first whole tables.
    PictureTaken {
        from: InstanceId,
        routes_version: Version,
        upstreams: usize,
        position: u64,
    },
    /// A hub can't read a table of the store, and forwards nothing of it.
    HubNotReading { hub: InstanceId, table: String },
    /// A message of another entry can't be read.
    MessageUnreadable { from: InstanceId, error: String },
    /// A message could not be written.
    MessageUnwritable { error: String },

    /// A request has ended.
    Request(Box<RequestEnded>),
    /// A send gave no answer for the caller.
    SendFailed(Box<SendFailed>),
    /// A long answer ended before it was whole.
    AnswerCut {
        id: String,
        upstream: UpstreamId,
        why: String,
        sent_bytes: u64,
        took_ms: u64,
    },
    /// What a caller sent could not be read as a request.
    RequestNotRead { why: String, status: u16 },
    /// A connection of a caller could not be accepted.
    AcceptFailed { error: String },
    /// A caller's connection was closed at once: there are as many as this process may hold.
    CallerTurnedAway { most: usize },

    /// Lines about requests beyond the bound of a second.
    LinesLeftOut { lines: u64 },
    /// Lines that found the queue full: nobody reads the output fast enough.
    LinesDropped { lines: u64, since_start: u64 },
    /// Something that a library says.
    Text { text: String },
}

impl Event {
    /// How much attention it asks for.
    pub fn severity(&self) -> Severity {
        match self {
            Self::PortsNotServed { .. }
            | Self::SettingsRefused { .. }
            | Self::RowUnreadable { .. }
            | Self::NoPeersPort { .. }
            | Self::MessageUnwritable { .. } => Severity::Error,
            Self::StoreLost { .. }
            | Self::RequestQuarantined { .. }
            | Self::OwnRowNotRemoved
            | Self::StrangerRefused { .. }
            | Self::MessageUnreadable { .. }
            | Self::EntriesNotRead { .. }
            | Self::HubNotReading { .. }
            | Self::RequestNotRead { .. }
            | Self::AcceptFailed { .. }
            | Self::CallerTurnedAway { .. }
            | Self::LinesLeftOut { .. }
            | Self::LinesDropped { .. } => Severity::Warn,
            _ => Severity::Info,
        }
    }

    /// Id of the request that it is about.
    pub fn request_id(&self) -> Option<&str> {
        match self {
            Self::Request(ended) => Some(&ended.id),
            Self::SendFailed(failed) => Some(&failed.id),
            Self::AnswerCut { id, .. } | Self::UpstreamCrashed { id, .. } => Some(id),
            _ => None,
        }
    }
}
