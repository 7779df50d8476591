//! The verbs of the scenario language; longer than 500 lines so that docs/scenarios.md has one counterpart.
//!
//! The doc comments of the verbs and their arguments are the help texts, which that page repeats.

use super::measure::MeasureName;
use super::values::{
    parse_class, parse_duration, parse_mode, parse_path_class, parse_rate, parse_share, parse_work,
    ComparisonOperator, EndpointName, LimitValue, NodeName,
};
use crate::upstream::UpstreamMode;
use crate::workload::WorkShape;
use argh::FromArgs;
use quetzalhill_core::catalogue::{PathClass, TrafficClass};
use std::str::FromStr;
use std::time::Duration;

/// One line of a scenario.
#[derive(Clone, Debug, FromArgs)]
pub struct ScenarioLine {
    /// the step
    #[argh(subcommand)]
    pub step: ScenarioStep,
}

/// A parsed step; one variant for each verb.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand)]
#[expect(missing_docs, reason = "each variant is documented at its type")]
pub enum ScenarioStep {
    Zones(ZonesStep),
    Entries(EntriesStep),
    Service(ServiceStep),
    Seed(SeedStep),
    Start(StartStep),
    Sessions(SessionsStep),
    Streams(StreamsStep),
    Load(LoadStep),
    Wait(WaitStep),
    Finish(FinishStep),
    Close(CloseStep),
    Kill(KillStep),
    Pause(PauseStep),
    Resume(ResumeStep),
    Stop(StopStep),
    Drain(DrainStep),
    Restart(RestartStep),
    Replace(ReplaceStep),
    Upstream(UpstreamStep),
    Fabric(FabricStep),
    Cut(CutStep),
    Heal(HealStep),
    Garbage(GarbageStep),
    Replay(ReplayStep),
    SetLimit(SetLimitStep),
    SetClass(SetClassStep),
    SetOwner(SetOwnerStep),
    MoveAddress(MoveAddressStep),
    AddService(AddServiceStep),
    RemoveService(RemoveServiceStep),
    Race(RaceStep),
    Corrupt(CorruptStep),
    Repair(RepairStep),
    Store(StoreStep),
    Mark(MarkStep),
    Expect(ExpectStep),
}

/// Name the availability zones; entries and endpoints are spread over them in turn.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "zones")]
pub struct ZonesStep {
    /// names of the zones
    #[argh(positional)]
    pub names: Vec<String>,
}

/// Set the number of entries, 1 to 20.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "entries")]
pub struct EntriesStep {
    /// number of entries
    #[argh(positional, from_str_fn(parse_entries))]
    pub count: u16,
    /// how long an entry forwards after SIGTERM, in whole seconds; 1s by default
    #[argh(
        option,
        from_str_fn(parse_duration),
        default = "Duration::from_secs(1)"
    )]
    pub linger: Duration,
}

/// Define a service that exists from the start.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "service")]
pub struct ServiceStep {
    /// name of the service
    #[argh(positional)]
    pub name: String,
    /// owner in the catalogue; `owner` by default
    #[argh(option, default = "String::from(\"owner\")")]
    pub owner: String,
    /// class in the catalogue: urgent, standard (default) or bulk
    #[argh(option, from_str_fn(parse_class), default = "TrafficClass::Standard")]
    pub class: TrafficClass,
    /// number of endpoints, 0 to 20; 2 by default
    #[argh(option, from_str_fn(parse_endpoints), default = "2")]
    pub endpoints: u16,
    /// requests that each upstream runs at the same time, 1 to 1000; 4 by default
    #[argh(option, from_str_fn(parse_slots), default = "4")]
    pub slots: u16,
    /// number of addresses, 1 to 5; 1 by default
    #[argh(option, from_str_fn(parse_addresses), default = "1")]
    pub addresses: usize,
    /// class of a path prefix, PREFIX=CLASS; may be repeated
    #[argh(option, from_str_fn(parse_path_class))]
    pub path_class: Vec<PathClass>,
    /// limit in the catalogue, NAME=VALUE; may be repeated
    #[argh(option)]
    pub limit: Vec<LimitValue>,
}

/// Set the seed of all random choices of the stand-ins; 1 by default.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "seed")]
pub struct SeedStep {
    /// the seed
    #[argh(positional)]
    pub seed: u64,
}

/// Start everything and wait until each service answers through each entry.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "start")]
pub struct StartStep {}

/// Open sessions and hold them.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "sessions")]
pub struct SessionsStep {
    /// name of this set of sessions
    #[argh(positional)]
    pub name: String,
    /// service whose address is used
    #[argh(option)]
    pub service: String,
    /// position of the address in the service, from 0; 0 by default
    #[argh(option, default = "0")]
    pub address: usize,
    /// number of sessions, 1 to 1000; 10 by default
    #[argh(option, from_str_fn(parse_count), default = "10")]
    pub count: usize,
}

/// Open sessions, each with one long stream of events, in the background.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "streams")]
pub struct StreamsStep {
    /// name of this set of streams
    #[argh(positional)]
    pub name: String,
    /// service whose address is used
    #[argh(option)]
    pub service: String,
    /// position of the address in the service, from 0; 0 by default
    #[argh(option, default = "0")]
    pub address: usize,
    /// service that has to answer; that of --service by default
    #[argh(option)]
    pub answered_by: Option<String>,
    /// number of sessions, 1 to 1000; 10 by default
    #[argh(option, from_str_fn(parse_count), default = "10")]
    pub count: usize,
    /// time between two events; 100ms by default
    #[argh(
        option,
        from_str_fn(parse_duration),
        default = "Duration::from_millis(100)"
    )]
    pub every: Duration,
    /// how long each stream lasts
    #[argh(option, long = "for", from_str_fn(parse_duration))]
    pub length: Duration,
}

/// Send requests in the background at random times, whether or not earlier ones were answered.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "load")]
pub struct LoadStep {
    /// name of this load
    #[argh(positional)]
    pub name: String,
    /// service whose address is used
    #[argh(option)]
    pub service: String,
    /// position of the address in the service, from 0; 0 by default
    #[argh(option, default = "0")]
    pub address: usize,
    /// service that has to answer; that of --service by default
    #[argh(option)]
    pub answered_by: Option<String>,
    /// requests a second
    #[argh(option, from_str_fn(parse_rate))]
    pub rate: f64,
    /// how long requests are sent
    #[argh(option, long = "for", from_str_fn(parse_duration))]
    pub length: Duration,
    /// work of each request; 10ms by default
    #[argh(option, from_str_fn(parse_work), default = "WorkShape::Fixed(10)")]
    pub work: WorkShape,
    /// bytes of each answer; 1000 by default
    #[argh(option, default = "1000")]
    pub bytes: u32,
    /// number of sessions, 1 to 1000; 10 by default
    #[argh(option, from_str_fn(parse_count), default = "10")]
    pub sessions: usize,
    /// requests carry idempotency keys and may not run twice
    #[argh(switch)]
    pub keyed: bool,
    /// value of the priority header, such as u=1
    #[argh(option)]
    pub priority: Option<String>,
    /// path of the requests, /work (default) or below it
    #[argh(option, from_str_fn(parse_path), default = "String::new()")]
    pub path: String,
    /// deadline that each request names; 5s by default
    #[argh(
        option,
        from_str_fn(parse_duration),
        default = "Duration::from_secs(5)"
    )]
    pub timeout: Duration,
}

/// Wait for a time.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "wait")]
pub struct WaitStep {
    /// how long
    #[argh(positional, from_str_fn(parse_duration))]
    pub time: Duration,
}

/// Wait until loads and streams have ended; all of them without a name.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "finish")]
pub struct FinishStep {
    /// names of loads and streams
    #[argh(positional)]
    pub names: Vec<String>,
    /// longest wait, after which the file fails; 30s by default
    #[argh(
        option,
        from_str_fn(parse_duration),
        default = "Duration::from_secs(30)"
    )]
    pub limit: Duration,
}

/// Close the sessions of a set, of streams or of a load in good order.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "close")]
pub struct CloseStep {
    /// names
    #[argh(positional)]
    pub names: Vec<String>,
}

/// Kill processes with SIGKILL.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "kill")]
pub struct KillStep {
    /// the processes
    #[argh(positional)]
    pub nodes: Vec<NodeName>,
    /// how long the fabric still sends packets to a killed entry; 500ms by default
    #[argh(
        option,
        from_str_fn(parse_duration),
        default = "Duration::from_millis(500)"
    )]
    pub unnoticed: Duration,
}

/// Pause processes with SIGSTOP; the fabric still sends packets to a paused entry.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "pause")]
pub struct PauseStep {
    /// the processes
    #[argh(positional)]
    pub nodes: Vec<NodeName>,
}

/// Let paused processes continue.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "resume")]
pub struct ResumeStep {
    /// the processes
    #[argh(positional)]
    pub nodes: Vec<NodeName>,
}

/// Stop processes gracefully with SIGTERM, all at once, and wait until they have ended.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "stop")]
pub struct StopStep {
    /// the processes
    #[argh(positional)]
    pub nodes: Vec<NodeName>,
    /// longest wait, after which the file fails; 40s by default
    #[argh(
        option,
        from_str_fn(parse_duration),
        default = "Duration::from_secs(40)"
    )]
    pub limit: Duration,
}

/// Begin a graceful stop with SIGTERM, all at once, and go on without waiting.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainStep {
    /// the processes
    #[argh(positional)]
    pub nodes: Vec<NodeName>,
}

/// Start processes again with the same addresses; those that still run are killed first.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "restart")]
pub struct RestartStep {
    /// the processes
    #[argh(positional)]
    pub nodes: Vec<NodeName>,
    /// go on without waiting until they are ready
    #[argh(switch)]
    pub no_wait: bool,
}

/// Replace instances as an operator does: start new ones at new addresses, wait until they are ready, move the
/// fabric, and stop the old ones gracefully, all at once. The new ones take over the names.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "replace")]
pub struct ReplaceStep {
    /// the processes; an agent is replaced together with its upstream
    #[argh(positional)]
    pub nodes: Vec<NodeName>,
    /// longest wait for the end of the old ones, after which the file fails; 40s by default
    #[argh(
        option,
        from_str_fn(parse_duration),
        default = "Duration::from_secs(40)"
    )]
    pub limit: Duration,
    /// go on without waiting for the end of the old ones
    #[argh(switch)]
    pub no_wait: bool,
}

/// Change how an upstream behaves.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "upstream")]
pub struct UpstreamStep {
    /// the endpoint
    #[argh(positional)]
    pub endpoint: EndpointName,
    /// healthy, failing, hanging, truncating, cold or draining
    #[argh(positional, from_str_fn(parse_mode))]
    pub mode: UpstreamMode,
}

/// Change how the fabric treats packets, in each direction; what is not named stays.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "fabric")]
pub struct FabricStep {
    /// only for this service
    #[argh(option)]
    pub service: Option<String>,
    /// share of packets that are lost
    #[argh(option, from_str_fn(parse_share))]
    pub loss: Option<f64>,
    /// share of packets that are delivered twice
    #[argh(option, from_str_fn(parse_share))]
    pub duplicate: Option<f64>,
    /// one-way delay
    #[argh(option, from_str_fn(parse_duration))]
    pub delay: Option<Duration>,
    /// further delay between zero and this, which reorders packets
    #[argh(option, from_str_fn(parse_duration))]
    pub jitter: Option<Duration>,
}

/// Send no packets of callers to these entries any more; their processes go on.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "cut")]
pub struct CutStep {
    /// the entries
    #[argh(positional)]
    pub nodes: Vec<NodeName>,
}

/// Send packets of callers to these entries again.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "heal")]
pub struct HealStep {
    /// the entries
    #[argh(positional)]
    pub nodes: Vec<NodeName>,
}

/// Send random bytes to every socket of every node, and to the fabric.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "garbage")]
pub struct GarbageStep {
    /// datagrams and connections for each socket, 1 to 10000; 50 by default
    #[argh(option, from_str_fn(parse_packets), default = "50")]
    pub count: u32,
    /// most bytes of each, 1 to 9000; 1300 by default
    #[argh(option, from_str_fn(parse_bytes), default = "1300")]
    pub bytes: usize,
}

/// Send the last datagrams of callers once more, to random entries.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct ReplayStep {
    /// only those of this service
    #[argh(option)]
    pub service: Option<String>,
    /// number of datagrams for each address, 1 to 1000; 100 by default
    #[argh(option, from_str_fn(parse_count), default = "100")]
    pub count: usize,
}

/// Change a limit in the catalogue.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "set-limit")]
pub struct SetLimitStep {
    /// the service
    #[argh(positional)]
    pub service: String,
    /// the limit, NAME=VALUE
    #[argh(positional)]
    pub limit: LimitValue,
}

/// Change the class of a service in the catalogue.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "set-class")]
pub struct SetClassStep {
    /// the service
    #[argh(positional)]
    pub service: String,
    /// urgent, standard or bulk
    #[argh(positional, from_str_fn(parse_class))]
    pub class: TrafficClass,
}

/// Change the owner of a service in the catalogue.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "set-owner")]
pub struct SetOwnerStep {
    /// the service
    #[argh(positional)]
    pub service: String,
    /// the owner
    #[argh(positional)]
    pub owner: String,
}

/// Move an address from one service to another in the catalogue.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "move-address")]
pub struct MoveAddressStep {
    /// service that was defined with the address
    #[argh(positional)]
    pub from: String,
    /// service that gets it
    #[argh(positional)]
    pub to: String,
    /// position of the address in the service that was defined with it, from 0; 0 by default
    #[argh(option, default = "0")]
    pub address: usize,
}

/// Start the endpoints of a further service and add it to the catalogue.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "add-service")]
pub struct AddServiceStep {
    /// name of the service
    #[argh(positional)]
    pub name: String,
    /// owner in the catalogue; `owner` by default
    #[argh(option, default = "String::from(\"owner\")")]
    pub owner: String,
    /// class in the catalogue: urgent, standard (default) or bulk
    #[argh(option, from_str_fn(parse_class), default = "TrafficClass::Standard")]
    pub class: TrafficClass,
    /// number of endpoints, 0 to 20; 2 by default
    #[argh(option, from_str_fn(parse_endpoints), default = "2")]
    pub endpoints: u16,
    /// requests that each upstream runs at the same time, 1 to 1000; 4 by default
    #[argh(option, from_str_fn(parse_slots), default = "4")]
    pub slots: u16,
}

/// Remove a service from the catalogue; its endpoints stay.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "remove-service")]
pub struct RemoveServiceStep {
    /// the service
    #[argh(positional)]
    pub name: String,
}

/// Let two operators who have read the same revision set a limit to different values at the same time.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "race")]
pub struct RaceStep {
    /// the service
    #[argh(positional)]
    pub service: String,
    /// the first operator's limit, NAME=VALUE
    #[argh(positional)]
    pub first: LimitValue,
    /// the second operator's limit, NAME=VALUE
    #[argh(positional)]
    pub second: LimitValue,
}

/// Overwrite a value of the catalogue in the store with text that is not valid.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "corrupt")]
pub struct CorruptStep {
    /// head, or a service whose shard is overwritten under a new head
    #[argh(positional)]
    pub what: String,
    /// the new value; `{not json` by default
    #[argh(option, default = "String::from(\"{not json\")")]
    pub value: String,
}

/// Write the values back that `corrupt` has overwritten.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "repair")]
pub struct RepairStep {}

/// Change how the store answers.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "store")]
pub struct StoreStep {
    /// down, up, slow, silent, unavailable, lose-answer or roll-back
    #[argh(positional, from_str_fn(parse_store))]
    pub mode: StoreMode,
    /// pause before each answer of a slow store; 1s by default
    #[argh(
        option,
        from_str_fn(parse_duration),
        default = "Duration::from_secs(1)"
    )]
    pub pause: Duration,
    /// catalogue changes that a roll-back takes back; 1 by default
    #[argh(option, default = "1")]
    pub changes: usize,
}

/// Remember the measures that later lines compare with `--since`.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "mark")]
pub struct MarkStep {
    /// name of the moment
    #[argh(positional)]
    pub name: String,
}

/// Compare a measure with a value.
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "expect")]
pub struct ExpectStep {
    /// the measure
    #[argh(positional)]
    pub measure: MeasureName,
    /// one of ==, !=, <, <=, > and >=
    #[argh(positional)]
    pub operator: ComparisonOperator,
    /// the value, in the unit of the measure
    #[argh(positional)]
    pub value: String,
    /// load, set of sessions, streams, service, endpoint or node that is measured
    #[argh(option)]
    pub of: Option<String>,
    /// count only from this mark on
    #[argh(option)]
    pub since: Option<String>,
    /// how long the comparison may take to hold; it has to hold at once by default
    #[argh(option, from_str_fn(parse_duration))]
    pub within: Option<Duration>,
}

/// Behaviour of the store after a `store` step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreMode {
    /// Refuses connections until `up`.
    Down,
    /// Runs and answers without delay.
    Up,
    /// Answers each call after the pause of the step.
    Slow,
    /// Accepts calls and never answers them.
    Silent,
    /// Answers every call with status 503.
    Unavailable,
    /// Applies the next transaction and closes its connection without an answer.
    LoseAnswer,
    /// Restores the content before the last accepted catalogue changes, like a restored backup.
    RollBack,
}

fn parse_store(text: &str) -> Result<StoreMode, String> {
    Ok(match text {
        "down" => StoreMode::Down,
        "up" => StoreMode::Up,
        "slow" => StoreMode::Slow,
        "silent" => StoreMode::Silent,
        "unavailable" => StoreMode::Unavailable,
        "lose-answer" => StoreMode::LoseAnswer,
        "roll-back" => StoreMode::RollBack,
        _ => {
            return Err(
                "expected down, up, slow, silent, unavailable, lose-answer or roll-back".into(),
            )
        }
    })
}

fn parse_between<T: FromStr + PartialOrd + std::fmt::Display>(
    text: &str,
    least: T,
    most: T,
) -> Result<T, String> {
    match text.parse::<T>() {
        Ok(value) if value >= least && value <= most => Ok(value),
        _ => Err(format!("expected a whole number from {least} to {most}")),
    }
}

fn parse_entries(text: &str) -> Result<u16, String> {
    parse_between(text, 1, 20)
}

fn parse_endpoints(text: &str) -> Result<u16, String> {
    parse_between(text, 0, 20)
}

fn parse_slots(text: &str) -> Result<u16, String> {
    parse_between(text, 1, 1_000)
}

fn parse_addresses(text: &str) -> Result<usize, String> {
    parse_between(text, 1, 5)
}

fn parse_count(text: &str) -> Result<usize, String> {
    parse_between(text, 1, 1_000)
}

fn parse_packets(text: &str) -> Result<u32, String> {
    parse_between(text, 1, 10_000)
}

fn parse_bytes(text: &str) -> Result<usize, String> {
    parse_between(text, 1, 9_000)
}

fn parse_path(text: &str) -> Result<String, String> {
    match text == "/work" || text.starts_with("/work/") {
        true => Ok(text.into()),
        false => Err("expected /work or a path that starts with /work/".into()),
    }
}
