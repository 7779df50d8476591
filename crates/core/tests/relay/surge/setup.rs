//! The entries, upstreams and arrivals with which a simulation starts.

use super::*;
use quetzalhill_core::relay::routes::RouteSet;
use quetzalhill_core::relay::terms::FlowTerms;

pub(super) fn route_address(kind: usize) -> SocketAddrV4 {
    let number = u8::try_from(kind + 1).expect("fits");
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, number), 443)
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

impl SurgeSimulation {
    pub(super) fn add_upstreams(&mut self) {
        for (service, plan) in self.plan.services.clone().into_iter().enumerate() {
            for index in 0..plan.endpoints {
                let endpoint = self.upstreams.len();
                self.upstreams.push(Upstream {
                    service,
                    zone: index % ZONES,
                    number: u8::try_from(endpoint + 1).expect("fits"),
                    is_up: false,
                    cold_until: self.start,
                    reports: 0,
                    meter: LoadMeter::default(),
                    gate: ColdGate::new(self.start),
                    running: 0,
                    waiting: VecDeque::new(),
                });
                let up = self.plan.start_spread.mul_f64(self.rng.random());
                self.push(self.start + up, EventKind::Start(endpoint));
            }
        }
    }

    pub(super) fn add_entries(&mut self) {
        for entry in 0..self.plan.entries {
            let mut fleet = FleetController::new(zone_name(entry % ZONES));
            for endpoint in 0..self.upstreams.len() {
                fleet.add_listed(self.listed(endpoint, 0), self.start);
            }
            let mut view = view();
            view.routes = self.routes();
            view.services = fleet.services(self.start);
            self.entries.push(Entry {
                chain: RelayChain::with_policy(self.plan.policy, self.start),
                fleet,
                hold: HoldQueue::default(),
                view,
            });
            let phase = VIEW_INTERVAL.mul_f64(self.rng.random());
            self.push(self.start + phase, EventKind::View(entry));
        }
    }

    fn routes(&self) -> RouteSet {
        let mut routes = routes(1, &[]);
        routes.by_address.clear();
        for (kind, plan) in self.plan.kinds.iter().enumerate() {
            routes
                .by_address
                .insert(route_address(kind), targets(&plan.shares));
            let terms = FlowTerms {
                target: plan.target,
                timeout: plan.timeout,
                ..FlowTerms::default()
            };
            routes.terms.insert(route_address(kind), terms);
        }
        for service in &self.plan.services {
            if let Some(rate) = service.cold_rate {
                routes.cold_rates.insert(service.name.into(), rate);
            }
        }
        routes
    }

    pub(super) fn listed(&self, endpoint: usize, incarnation: u64) -> ListedEndpoint {
        let upstream = &self.upstreams[endpoint];
        let service = &self.plan.services[upstream.service];
        ListedEndpoint {
            id: id(upstream.number),
            service: service.name.into(),
            zone: zone_name(upstream.zone),
            incarnation,
            slots: service.slots,
        }
    }

    pub(super) fn draw_arrivals(&mut self) {
        for (kind, plan) in self.plan.kinds.clone().into_iter().enumerate() {
            let mut times = Vec::new();
            for _ in 0..plan.returning {
                times.push(self.rng.random_range(0.0..0.05));
            }
            let mut at = 0.0;
            loop {
                at += -(1.0 - self.rng.random::<f64>()).ln() / plan.rate_per_s;
                if at >= self.plan.length.as_secs_f64() {
                    break;
                }
                times.push(at);
            }
            for at in times {
                let arrived = self.start + Duration::from_secs_f64(at);
                let attempts = 0;
                let request = self.requests.len();
                self.requests.push(CallerRequest {
                    kind,
                    arrived,
                    attempts,
                    latency: None,
                });
                self.open(request, arrived);
            }
        }
    }
}
