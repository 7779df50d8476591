//! Runs stand-ins of the platform and of the callers for a deployment whose entries and agents are started by hand: a
//! store, a fabric for each of two services, four upstreams, and a caller that sends one request to each service every
//! second. docs/OPERATIONS.md uses it.

use anyhow::Result;
use argh::FromArgs;
use quetzalhill_standins::caller::{CallOutcome, CallRequest, CallerStandin};
use quetzalhill_standins::certificate::{write_certificate, write_control_key};
use quetzalhill_standins::fabric::{FabricRules, FabricStandin};
use quetzalhill_standins::store::StoreStandin;
use quetzalhill_standins::upstream::UpstreamStandin;
use quetzalhill_standins::workload::next_id;
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::path::Path;
use std::time::Duration;

const FOLDER: &str = "target/try";
const SERVICES: [(&str, u16); 2] = [("feed", 4433), ("batch", 4434)];
const UPSTREAMS: [&str; 4] = ["batch", "batch", "feed", "feed"];

/// Run stand-ins of the platform and the callers for deployments/try.
#[derive(FromArgs)]
struct PlatformArgs {
    /// seconds for which it runs (default 600)
    #[argh(option, default = "600")]
    seconds: u64,
}

fn main() -> Result<()> {
    let args: PlatformArgs = argh::from_env();
    let folder = Path::new(FOLDER);
    std::fs::create_dir_all(folder)?;
    let certificate = write_certificate(folder)?;
    write_control_key(folder, 1)?;
    let store = StoreStandin::start(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 2379).into())?;
    let mut fabrics = Vec::new();
    for (service, port) in SERVICES {
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        fabrics.push(FabricStandin::start(address, FabricRules::default(), 1)?);
        println!("fabric of {service} at {address}");
    }
    let mut upstreams = Vec::new();
    for (host, service) in (21..).zip(UPSTREAMS) {
        let address = SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, host), 8080);
        upstreams.push(UpstreamStandin::start(address, service)?);
        println!("upstream of {service} at {address}");
    }
    println!("store at {}; certificate and key in {FOLDER}", store.url());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let caller = CallerStandin::new(&certificate.root)?;
        for second in 1..=args.seconds {
            update_fabric_entries(&fabrics);
            let mut line = format!("{second:4} s");
            for (service, port) in SERVICES {
                let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
                line += &format!("  {service}: {}", call(&caller, service, address).await);
            }
            println!("{line}");
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        Ok(())
    })
}

/// Limits the fabrics to the entries whose admin port accepts connections, as a fabric with TCP health checks does.
fn update_fabric_entries(fabrics: &[FabricStandin]) {
    let is_reachable = |host: &u8| {
        let admin = SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, *host), 7180);
        TcpStream::connect_timeout(&admin.into(), Duration::from_millis(100)).is_ok()
    };
    let hosts: Vec<u8> = (11..=13).filter(is_reachable).collect();
    for fabric in fabrics {
        let port = fabric.address().port();
        let entries = hosts
            .iter()
            .map(|&host| SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, host), port));
        let entries = entries.collect();
        fabric.update_rules(|rules| rules.entries = entries);
    }
}

async fn call(caller: &CallerStandin, service: &str, address: SocketAddrV4) -> String {
    let request = CallRequest {
        id: next_id(),
        service: service.into(),
        ms: 20,
        bytes: 100,
        timeout_ms: Some(2_000),
        ..CallRequest::default()
    };
    let session = match tokio::time::timeout(Duration::from_secs(1), caller.connect(address)).await
    {
        Ok(Ok(session)) => session,
        Ok(Err(error)) => return format!("no session ({error:#})"),
        Err(_) => return "no session within 1 s".into(),
    };
    let outcome = session.call(&request).await;
    session.close();
    match outcome {
        CallOutcome::Whole => "answered".into(),
        other => format!("{other:?}"),
    }
}
