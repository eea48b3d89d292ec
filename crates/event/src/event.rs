//! All events that an entry logs.

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

/// Severity of an event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Failure that needs an operator's attention.
    Error,
    /// Unexpected condition.
    Warn,
    /// Decision or state change.
    Info,
}

/// Log event.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
#[expect(missing_docs, reason = "the field names state their content and unit")]
pub enum Event {
    /// The process has started.
    Started {
        region: RegionId,
        failure_domain: DomainId,
        callers_addr: String,
    },
    /// The traffic thread could not listen on its ports; the process exits.
    PortsNotServed { error: String },
    /// A signal requested a reload of the settings.
    ReloadAsked,
    /// Changed settings are in force, except for the fields in `after_restart`, which need a restart.
    SettingsInForce { after_restart: String },
    /// Changed settings are invalid; the previous settings stay in force.
    SettingsRefused { findings: Vec<String> },
    /// A planned stop has begun.
    Stopping { under_way: usize },
    /// The process exits; requests that are still in progress are aborted.
    Stopped { under_way: usize, took_ms: u64 },

    /// Store calls for a table have started to fail.
    StoreLost { table: String, error: String },
    /// Store calls for a table succeed again, after `failed_calls` calls. The last of them failed after `last_call_ms`,
    /// `retry_ms` before the call that succeeded.
    StoreRegained {
        table: String,
        outage_ms: u64,
        #[serde(default)]
        failed_calls: u32,
        #[serde(default)]
        last_call_ms: u64,
        #[serde(default)]
        retry_ms: u64,
    },
    /// A complete table was read.
    TableRead {
        table: String,
        rows: usize,
        position: u64,
    },
    /// The store no longer has the changes after `position`: the complete table is read again.
    HistoryGone { table: String, position: u64 },
    /// The store was restored from an older copy: the complete table is read again, and what was written since the
    /// copy is missing until it is written again.
    StoreRestored { table: String, position: u64 },
    /// A row can't be parsed. For an operators' row, the last known value stays in force; an upstream's row is
    /// treated as listing no upstream.
    RowUnreadable { row: String, findings: Vec<String> },
    /// This entry could not remove its own row during its planned stop; other entries remove it later.
    OwnRowNotRemoved,
    /// This entry tried to remove the row of another entry that has been lost for a long time.
    LostEntryRow { row: String, outcome: String },

    /// A version of the routes is in force; `from` is `store`, or the entry that sent it.
    RoutesInForce { version: Version, from: String },
    /// An operator started or ended the evacuation of a failure domain.
    Evacuation {
        failure_domain: DomainId,
        on: bool,
        row_version: u64,
    },
    /// Evacuations ended because their rows were missing when the complete table was read again.
    EvacuationsEnded { position: u64 },
    /// Evacuations received from another entry changed this entry's state.
    EvacuationsHeard { from: InstanceId },
    /// Upstreams received from another entry changed this entry's state.
    UpstreamsHeard { from: InstanceId },
    /// A row of the store lists an upstream.
    UpstreamListed {
        upstream: UpstreamId,
        service: ServiceId,
        leaving: bool,
        cold_left_ms: u64,
        row_version: u64,
    },
    /// The store no longer lists an upstream.
    UpstreamRemoved {
        upstream: UpstreamId,
        row_version: u64,
        after_outage: bool,
    },
    /// This entry claimed leases of cold upstreams; only the holder of a lease sends requests to the upstream.
    /// `row_version` is the version of the rows if the leases were granted.
    ColdLeases {
        outcome: String,
        upstreams: Vec<UpstreamId>,
        row_version: u64,
        took_ms: u64,
    },
    /// This entry tried to remove rows of leases that have not been renewed for a long time.
    ColdLeasesRemoved { rows: usize, outcome: String },
    /// An upstream failed and receives no requests for `away_ms`.
    UpstreamPassedOver {
        upstream: UpstreamId,
        service: ServiceId,
        away_ms: u64,
        not_there: bool,
    },
    /// An upstream rejected a request and accepts no further ones from this entry for `pause_ms`.
    UpstreamPaused {
        upstream: UpstreamId,
        service: ServiceId,
        pause_ms: u64,
    },
    /// This entry reaches no upstream: no probe connects, and `silence_ms` have passed without a response. Connections to
    /// `failed_connections` of `usable` upstreams had failed before. `relays` other entries take its callers' requests.
    UpstreamsUnreachable {
        silence_ms: u64,
        #[serde(default)]
        failed_connections: usize,
        #[serde(default)]
        usable: usize,
        relays: usize,
    },
    /// This entry reaches upstreams again.
    UpstreamsReachable { after_ms: u64 },
    /// An upstream that was excluded after a failure has responded.
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
    /// An upstream stated in a response that it is leaving; `from` is `response` if this entry received it, or the entry
    /// that reported it.
    UpstreamLeaving { upstream: UpstreamId, from: String },
    /// An upstream announced that it is leaving, or its address belongs to another upstream.
    UpstreamClosed {
        upstream: UpstreamId,
        service: ServiceId,
        why: String,
    },
    /// The retry budget of a service is exhausted; logged at most once per second and service.
    RetriesSpent { service: ServiceId },

    /// The rows of the entries could not be read from the store.
    EntriesNotRead { error: String },
    /// The port for peer entries could not be opened.
    NoPeersPort { error: String },
    /// A session with another entry was established.
    EntryConnected { entry: InstanceId, incarnation: u64 },
    /// A session with another entry has ended.
    EntryLost { entry: InstanceId, why: String },
    /// A connection to the port for peer entries failed to authenticate.
    StrangerRefused { addr: String, why: String },
    /// A new entry has taken its initial state from its hub instead of reading the complete tables.
    PictureTaken {
        from: InstanceId,
        routes_version: Version,
        upstreams: usize,
        position: u64,
    },
    /// A hub can't read a table of the store and forwards no rows of it.
    HubNotReading { hub: InstanceId, table: String },
    /// A message from another entry can't be parsed.
    MessageUnreadable { from: InstanceId, error: String },
    /// A message could not be serialised.
    MessageUnwritable { error: String },

    /// A request has ended.
    Request(Box<RequestEnded>),
    /// An attempt to send a request yielded no response for the caller.
    SendFailed(Box<SendFailed>),
    /// Another entry did not serve a request that was relayed to it.
    RelayFailed {
        id: String,
        entry: InstanceId,
        not_run: bool,
        why: String,
    },
    /// A streamed response ended before it was complete.
    AnswerCut {
        id: String,
        upstream: UpstreamId,
        why: String,
        sent_bytes: u64,
        took_ms: u64,
    },
    /// A caller's input could not be parsed as a request.
    RequestNotRead { why: String, status: u16 },
    /// A request was rejected because the memory for bodies is used up.
    BodyRefused { held_bytes: u64, limit_bytes: u64 },
    /// A caller's connection could not be accepted.
    AcceptFailed { error: String },
    /// A caller's connection was closed immediately because `most` connections are open.
    CallerTurnedAway { most: usize },

    /// Lines about requests were omitted because they exceeded the limit per second.
    LinesLeftOut { lines: u64 },
    /// Lines were dropped because the queue was full: the output is read too slowly.
    LinesDropped { lines: u64, since_start: u64 },
    /// Message logged by a library.
    Text { text: String },
}

impl Event {
    /// Severity at which the event is logged.
    pub fn severity(&self) -> Severity {
        match self {
            Self::PortsNotServed { .. }
            | Self::SettingsRefused { .. }
            | Self::RowUnreadable { .. }
            | Self::NoPeersPort { .. }
            | Self::MessageUnwritable { .. } => Severity::Error,
            Self::StoreLost { .. }
            | Self::StoreRestored { .. }
            | Self::UpstreamsUnreachable { .. }
            | Self::RequestQuarantined { .. }
            | Self::OwnRowNotRemoved
            | Self::StrangerRefused { .. }
            | Self::MessageUnreadable { .. }
            | Self::EntriesNotRead { .. }
            | Self::HubNotReading { .. }
            | Self::RequestNotRead { .. }
            | Self::BodyRefused { .. }
            | Self::AcceptFailed { .. }
            | Self::CallerTurnedAway { .. }
            | Self::LinesLeftOut { .. }
            | Self::LinesDropped { .. } => Severity::Warn,
            _ => Severity::Info,
        }
    }

    /// Id of the request that the event is about, if any.
    pub fn request_id(&self) -> Option<&str> {
        match self {
            Self::Request(ended) => Some(&ended.id),
            Self::SendFailed(failed) => Some(&failed.id),
            Self::AnswerCut { id, .. }
            | Self::RelayFailed { id, .. }
            | Self::UpstreamCrashed { id, .. } => Some(id),
            _ => None,
        }
    }
}
