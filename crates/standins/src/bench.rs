//! Measurement of dispatch policies in real time: the real entries and agents under the same load for each policy.

pub mod figures;
pub mod phases;
pub mod report;

use crate::caller::CallerStandin;
use crate::delay::DelayLine;
use crate::deployment::{DeploymentPlan, ServicePlan};
use crate::testbed::Testbed;
use crate::workload::SessionPool;
use anyhow::{Context, Result};
use figures::PolicyFigures;
use quetzalhill_core::dispatch::DispatchPolicy;
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Runtime;

/// Sessions over which the requests are spread.
const SESSIONS: usize = 140;

/// Worker threads of the callers.
const CALLER_THREADS: usize = 3;

/// What is compared.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BenchPolicy {
    /// One endpoint with all slots, which is a central queue that knows every slot.
    Central,
    /// The product's policy.
    Pooled,
    /// A peer chosen at random.
    Random,
    /// All peers in turn.
    RoundRobin,
    /// The peer with the least load in its last report.
    LeastReported,
}

impl BenchPolicy {
    /// All policies; the limit comes first, because the others are compared with it.
    pub const ALL: [BenchPolicy; 5] = [
        BenchPolicy::Central,
        BenchPolicy::Pooled,
        BenchPolicy::Random,
        BenchPolicy::RoundRobin,
        BenchPolicy::LeastReported,
    ];

    /// Returns the name in reports.
    pub fn name(self) -> &'static str {
        match self {
            BenchPolicy::Central => "central",
            BenchPolicy::Pooled => "pooled",
            BenchPolicy::Random => "random",
            BenchPolicy::RoundRobin => "round-robin",
            BenchPolicy::LeastReported => "least-reported",
        }
    }

    fn dispatch(self) -> DispatchPolicy {
        match self {
            BenchPolicy::Central | BenchPolicy::Pooled => DispatchPolicy::Pooled,
            BenchPolicy::Random => DispatchPolicy::Random,
            BenchPolicy::RoundRobin => DispatchPolicy::RoundRobin,
            BenchPolicy::LeastReported => DispatchPolicy::LeastReported,
        }
    }

    /// Returns the deployment in which this policy is measured: the most urgent service of `plan` alone.
    fn plan(self, plan: &DeploymentPlan) -> Result<DeploymentPlan> {
        let mut plan = plan.clone();
        let (name, mut service) = urgent_service(&plan)?;
        if self == BenchPolicy::Central {
            service.slots *= service.endpoints;
            service.limits.queue *= u32::from(service.endpoints);
            service.limits.in_flight *= u32::from(service.endpoints);
            service.endpoints = 1;
        }
        plan.service = [(name, service)].into();
        Ok(plan)
    }
}

/// Returns the most urgent service of a deployment.
///
/// # Errors
///
/// Returns an error if the deployment has no service.
pub fn urgent_service(plan: &DeploymentPlan) -> Result<(String, ServicePlan)> {
    let urgent = plan.service.iter().min_by_key(|(_, service)| service.class);
    let (name, service) = urgent.context("the deployment has no service")?;
    Ok((name.clone(), service.clone()))
}

/// One policy under measurement.
pub struct BenchBed {
    /// The deployment.
    pub bed: Testbed,
    /// Sessions of the callers.
    pub pool: Arc<SessionPool>,
    /// Runs the callers.
    pub runtime: Runtime,
    /// Gives arrivals their exact times.
    pub line: DelayLine,
    /// Service that is measured.
    pub service: String,
    /// Slots of all its endpoints.
    pub slots: f64,
    /// Mean work of a request, in milliseconds.
    pub mean_ms: f64,
    /// Path prefix of the less urgent requests.
    pub standard_path: String,
    /// Length of the steady phases.
    pub length: Duration,
}

impl BenchBed {
    /// Starts the deployment and the callers of one policy.
    ///
    /// # Errors
    ///
    /// Returns an error if something cannot start.
    pub fn start(plan: &DeploymentPlan, policy: BenchPolicy, length: Duration) -> Result<Self> {
        let plan = policy.plan(plan)?;
        let (service, shape) = urgent_service(&plan)?;
        let bed = Testbed::start(plan, policy.dispatch(), 1)?;
        bed.wait_all_ready()?;
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(CALLER_THREADS)
            .enable_all()
            .build()?;
        let address = bed
            .service_address(&service)
            .context("the service is in the plan")?;
        let pool = runtime.block_on(async {
            let caller = CallerStandin::new(&bed.certificate.root)?;
            SessionPool::open(&caller, address, SESSIONS).await
        })?;
        let prefix = shape.path_classes.first().map(|class| class.prefix.clone());
        Ok(Self {
            bed,
            pool,
            runtime,
            line: DelayLine::start(),
            service,
            slots: f64::from(shape.slots) * f64::from(shape.endpoints),
            mean_ms: shape.mean_ms,
            standard_path: prefix.context("the service has a path of a lower class")?,
            length,
        })
    }
}

/// Measures one policy in all phases.
///
/// # Errors
///
/// Returns an error if the deployment cannot start.
pub fn measure_policy(
    plan: &DeploymentPlan,
    policy: BenchPolicy,
    length: Duration,
    say: &dyn Fn(&str),
) -> Result<PolicyFigures> {
    let mut bench = BenchBed::start(plan, policy, length)?;
    let mut figures = PolicyFigures::new(policy);
    say("0.8 load");
    figures.p99_80_ms = phases::steady_p99(&bench, 0.8);
    say("0.9 load");
    figures.p99_90_ms = phases::steady_p99(&bench, 0.9);
    say("short requests alone and behind long ones");
    phases::short_behind_long(&bench, &mut figures);
    say("imbalance at 0.7 load");
    phases::imbalance(&bench, &mut figures);
    say("crest of 3 times the capacity");
    phases::crest(&bench, &mut figures);
    if policy != BenchPolicy::Central {
        say("one endpoint that claims health and fails");
        phases::lying_endpoint(&bench, &mut figures);
        say("every third endpoint fails");
        phases::every_third_fails(&bench, &mut figures);
    }
    if policy == BenchPolicy::Pooled {
        say("planned changes");
        phases::planned_changes(&mut bench, &mut figures)?;
    }
    Ok(figures)
}
