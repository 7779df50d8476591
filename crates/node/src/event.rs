//! Numbered log events.
//!
//! Operators search and alert on the number, whose meaning never changes. docs/events.md lists every event and what
//! to do about it.

use log::Level;
use std::fmt::{Display, Write};

macro_rules! events {
    ($($(#[$doc:meta])* $variant:ident = $number:literal, $level:ident, $name:literal;)*) => {
        /// Log events by number: 1000 to 1999 entries, 2000 to 2999 agents, 3000 to 3999 membership, 4000 to 4999 catalogue
        /// and store, 5000 to 5999 code that both binaries share.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        pub enum EventCode { $($(#[$doc])* $variant,)* }

        impl EventCode {
            /// All events, in the order of their numbers.
            pub const ALL: &'static [EventCode] = &[$(EventCode::$variant,)*];

            /// Returns the number, whose meaning never changes.
            pub fn number(self) -> u16 {
                match self { $(EventCode::$variant => $number,)* }
            }

            /// Returns the name in the log line.
            pub fn name(self) -> &'static str {
                match self { $(EventCode::$variant => $name,)* }
            }

            /// Returns the level at which the event is logged.
            pub fn level(self) -> Level {
                match self { $(EventCode::$variant => Level::$level,)* }
            }
        }
    };
}

events! {
    /// An entry started and receives packets.
    EntryStarted = 1001, Info, "entry-started";
    /// An entry stopped after a graceful shutdown.
    EntryStopped = 1002, Info, "entry-stopped";
    /// The answer of an entry to readiness probes changed.
    EntryReadiness = 1003, Info, "entry-readiness";
    /// An entry placed a new flow on an endpoint.
    FlowPlaced = 1010, Info, "flow-placed";
    /// An entry sends a packet of a flow that is not in its table to endpoints, to find out which one has the flow.
    FlowQueried = 1011, Info, "flow-asked";
    /// An entry received a packet that an agent returned because its endpoint does not accept it.
    FlowReturned = 1012, Info, "flow-returned";
    /// An entry sent a reset to a caller because there is no such flow.
    FlowReset = 1013, Info, "flow-reset";
    /// An entry dropped a packet of a flow.
    FlowDropped = 1014, Info, "flow-dropped";
    /// An entry holds a packet of a flow until its view of routes and endpoints is newer.
    FlowHeld = 1015, Info, "flow-held";
    /// An entry no longer sends the packets of a flow to the endpoint that its flow table holds.
    HolderDropped = 1016, Info, "holder-dropped";
    /// Open flows of an upstream that has restarted were reset.
    FlowsEnded = 1017, Info, "flows-ended";
    /// An agent started and accepts flows.
    AgentStarted = 2001, Info, "agent-started";
    /// An agent began to drain.
    AgentDraining = 2002, Info, "agent-draining";
    /// An agent stopped after a graceful shutdown.
    AgentStopped = 2003, Info, "agent-stopped";
    /// An agent reached the time limit of its shutdown with work still in progress.
    AgentStopLimit = 2004, Warn, "agent-stop-limit";
    /// The state of an upstream changed at its agent.
    UpstreamChanged = 2010, Info, "upstream-changed";
    /// An agent rejected an announcement of an upstream.
    AnnouncementRefused = 2011, Warn, "announcement-refused";
    /// An agent returned a packet to an entry because its endpoint does not accept it.
    PacketReturned = 2012, Info, "packet-returned";
    /// An agent delivered a packet with the start of a request to its upstream.
    RequestSeen = 2013, Info, "request-seen";
    /// An upstream was ejected because it resets its requests; it gets no new flows for a while.
    UpstreamEjected = 2014, Warn, "upstream-ejected";
    /// An agent dropped a held request because its request timeout had passed; it has not run.
    RequestDropped = 2030, Info, "request-dropped";
    /// An agent started the window of new flows again, because its upstream has started or recovers.
    SlowStartBegun = 2020, Info, "slow-start-begun";
    /// The window of new flows has reached its ceiling after a start.
    SlowStartDone = 2021, Info, "slow-start-done";
    /// An endpoint was added or removed, or its state changed.
    EndpointChanged = 3001, Info, "endpoint-changed";
    /// An entry learned another incarnation of an endpoint's upstream.
    IncarnationChanged = 3002, Info, "incarnation-changed";
    /// A catalogue revision came into force.
    CatalogueInForce = 4001, Info, "catalogue-in-force";
    /// A catalogue that failed validation was ignored; the catalogue in force stays.
    CatalogueInvalid = 4002, Error, "catalogue-invalid";
    /// The store could not be reached.
    StoreUnavailable = 4003, Warn, "store-unavailable";
    /// The store answers again.
    StoreAvailable = 4004, Info, "store-available";
    /// The store has an older catalogue than the one in force, which stays.
    CatalogueOlder = 4005, Warn, "catalogue-older";
    /// The entry acquired a reader slot of its zone.
    ReaderStarted = 4006, Info, "reader-started";
    /// The entry no longer holds a reader slot.
    ReaderStopped = 4007, Info, "reader-stopped";
    /// A catalogue with a revision at or below the one in force was ignored.
    CatalogueStale = 4008, Info, "catalogue-stale";
    /// A set of routes came into force.
    RoutesInForce = 4010, Info, "routes-in-force";
    /// A set of routes could not be decoded; the routes in force stay.
    RoutesInvalid = 4011, Error, "routes-invalid";
    /// The list of endpoints was read from the store.
    ListLoaded = 4012, Info, "list-loaded";
    /// A record in the list of endpoints could not be decoded and was skipped.
    RecordInvalid = 4013, Warn, "record-invalid";
    /// The agent registered its endpoint in the list of endpoints.
    EndpointRegistered = 4014, Info, "endpoint-registered";
    /// The agent's endpoint was removed from the list because its lease ended.
    LeaseLost = 4015, Warn, "lease-lost";
    /// An entry began to follow the list of endpoints itself, or to leave that to other entries of its zone.
    ListRole = 4016, Info, "list-role";
    /// An availability zone was evacuated, or its evacuation ended.
    ZoneEvacuation = 4020, Info, "zone-evacuation";
    /// A key of an evacuation names no availability zone and was ignored.
    EvacuationInvalid = 4021, Warn, "evacuation-invalid";
    /// Answers of the store show that it was restored from an older copy.
    StoreRestored = 4030, Warn, "store-restored";
    /// An agent registered its endpoint again after the store was restored.
    EndpointRegisteredAgain = 4031, Info, "endpoint-registered-again";
    /// A task or thread ended with an error.
    TaskFailed = 5001, Error, "task-failed";
    /// Changed control keys came into force.
    KeysReloaded = 5002, Info, "keys-reloaded";
    /// A changed settings file came into force.
    SettingsReloaded = 5004, Info, "settings-reloaded";
    /// The changed settings file is not valid; the settings in force stay.
    SettingsInvalid = 5005, Error, "settings-invalid";
    /// The changed files of the control keys are not valid; the keys in force stay.
    KeysInvalid = 5003, Error, "keys-invalid";
}

impl EventCode {
    /// Returns the event with this number.
    pub fn from_number(number: u16) -> Option<Self> {
        let mut codes = EventCode::ALL.iter().copied();
        codes.find(|code| code.number() == number)
    }

    /// Returns whether the event concerns a single flow or packet; such events are frequent and have a higher log limit.
    pub fn concerns_flow(self) -> bool {
        matches!(
            self,
            EventCode::FlowPlaced
                | EventCode::FlowQueried
                | EventCode::FlowReturned
                | EventCode::FlowReset
                | EventCode::FlowDropped
                | EventCode::FlowHeld
                | EventCode::HolderDropped
                | EventCode::PacketReturned
                | EventCode::RequestSeen
                | EventCode::RequestDropped
        )
    }
}

/// Logs one event with its fields, for example `QH1001 entry-started address=127.0.0.1:7100`.
pub fn emit(code: EventCode, fields: &[(&str, &dyn Display)]) {
    let mut line = format!("QH{} {}", code.number(), code.name());
    for (name, value) in fields {
        let text = value.to_string();
        let quoted = text.contains([' ', '"', '=', '\n']);
        // Writing to a String cannot fail.
        let _ = match quoted {
            true => write!(line, " {name}={text:?}"),
            false => write!(line, " {name}={text}"),
        };
    }
    log::log!(target: "event", code.level(), "{line}");
}
