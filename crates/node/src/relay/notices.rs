//! Counters of the messages between entries and agents that carry no packet.

use prometheus::{IntCounterVec, Opts, Registry, Result};
use quetzalhill_core::relay::subscribe::ReportRate;

/// Kind of a message; near messages stay in the availability zone, far ones may leave it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum NoticeKind {
    /// Keepalive of an entry to an agent.
    Keepalive(ReportRate),
    /// Report of an agent to an entry.
    Report(ReportRate),
    /// Change of the list of endpoints, between entries of a zone.
    ListChange,
    /// State of the list of a reader, between entries of a zone.
    ListState,
    /// Revision of the routes at an entry that reads for its zone, to the other entries.
    RoutesState,
    /// The same with the evacuations, where they are followed.
    OperatorState,
    /// Era of the store after a restore, between entries of a zone.
    StoreEra,
    /// Request to confirm the list, or its answer, between entries of a zone.
    Confirm,
    /// Open flows of an entry, to the entry that reads for its zone.
    OpenFlows,
    /// Claim of an agent whose upstream holds a flow that an entry searches for.
    FlowClaim,
    /// Barrier of an entry in its own socket.
    ReadBarrier,
}

impl NoticeKind {
    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            NoticeKind::Keepalive(ReportRate::Frequent) => "keepalive-near",
            NoticeKind::Keepalive(ReportRate::Sparse) => "keepalive-far",
            NoticeKind::Report(ReportRate::Frequent) => "report-near",
            NoticeKind::Report(ReportRate::Sparse) => "report-far",
            NoticeKind::ListChange => "list-change",
            NoticeKind::RoutesState => "routes-state",
            NoticeKind::OperatorState => "operator-state",
            NoticeKind::ListState => "list-state",
            NoticeKind::StoreEra => "store-era",
            NoticeKind::Confirm => "confirm",
            NoticeKind::OpenFlows => "open-flows",
            NoticeKind::FlowClaim => "flow-claim",
            NoticeKind::ReadBarrier => "read-barrier",
        }
    }
}

/// Numbers and bytes of the messages that a process has sent.
#[derive(Clone, Debug)]
pub struct NoticeCounters {
    messages: IntCounterVec,
    bytes: IntCounterVec,
}

impl NoticeCounters {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// The registry already has metrics with these names.
    pub fn new(registry: &Registry) -> Result<Self> {
        let counter = |name: &str, help: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &["kind"])?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        Ok(Self {
            messages: counter(
                "quetzalhill_relay_notices_total",
                "Messages without a packet that were sent, by kind.",
            )?,
            bytes: counter(
                "quetzalhill_relay_notice_bytes_total",
                "Bytes of messages without a packet that were sent, without UDP and IP headers.",
            )?,
        })
    }

    /// Counts a message of `size` bytes.
    pub fn count(&self, kind: NoticeKind, size: usize) {
        let name = kind.name();
        self.messages.with_label_values(&[name]).inc();
        let size = u64::try_from(size).unwrap_or(u64::MAX);
        self.bytes.with_label_values(&[name]).inc_by(size);
    }
}
