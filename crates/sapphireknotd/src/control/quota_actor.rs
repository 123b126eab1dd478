//! Quotas of this host: limits from the configuration, transfers between hosts and claims in the store.
//!
//! The decisions are in the library. The actor gives them the time, carries their calls in tasks of their own, and keeps
//! what they need to know of other hosts. `docs/quota.md` says which rules the claims follow.

mod claims;
mod transfers;

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use sapphireknot::{
    ids::{ConfigGeneration, HostId},
    installed::InstalledConfig,
    membership::MemberRecord,
    quota::{LeaseKind, PeerDistance, PeerOrder, QuotaLimits, ResourceId},
    time::MonoTime,
};
use xxhash_rust::xxh3::xxh3_64;

use self::claims::ClaimState;
use super::shared::{ActorResult, ControlShared, send};
use crate::{interfaces::ShortageSink, peer::PeerClients, quota::HostQuotas};

/// Interval at which the actor looks after its resources.
const TICK: Duration = Duration::from_millis(50);
/// Ticks between two looks at what the demand lacks before a request waits. Looks every 200 ms caused most messages.
const AHEAD_TICKS: u32 = 6;
/// Time before the end of a sublease at which it is given back, so that its tokens return instead of being dropped.
const RETURN_LEAD: Duration = Duration::from_millis(300);
/// Time for which a host that is gone counts for equal parts, so that a restarted host finds its part unclaimed.
const RESTART_GRACE: Duration = Duration::from_secs(30);

/// Message to the quota actor.
#[derive(Debug)]
pub enum QuotaMessage {
    /// Time has passed.
    Tick,
    /// A request lacks a token.
    Short(ResourceId),
    /// A lender was asked.
    Asked(transfers::LenderAnswer),
    /// A lease was created; its grants have to be claimed.
    LeaseStarted(LeaseKind),
    /// A claim of one shard ended.
    Claimed(claims::ClaimResult),
    /// Give everything back; the reply tells whether share is still lent.
    Stop(RpcReplyPort<bool>),
}

/// Shortages that go to the quota actor.
struct ActorShortages(ActorRef<QuotaMessage>);

impl ShortageSink for ActorShortages {
    fn report_shortage(&self, resource: &ResourceId) {
        send(&self.0, QuotaMessage::Short(resource.clone()));
    }
}

/// Quota actor.
pub(super) struct QuotaActor;

/// What the actor needs.
pub(super) struct QuotaArguments {
    /// Shared state.
    pub shared: Arc<ControlShared>,
    /// Clients of peers.
    pub peers: Arc<PeerClients>,
}

/// State of the actor.
pub(super) struct QuotaState {
    shared: Arc<ControlShared>,
    peers: Arc<PeerClients>,
    quotas: Arc<HostQuotas>,
    generation: Option<ConfigGeneration>,
    resources: Vec<ResourceId>,
    orders: HashMap<ResourceId, PeerOrder>,
    members: Arc<Vec<MemberRecord>>,
    /// Until when hosts count for equal parts.
    counted_until: HashMap<HostId, MonoTime>,
    claims: ClaimState,
    ticks: u32,
    is_stopped: bool,
}

#[ractor::async_trait]
impl Actor for QuotaActor {
    type Msg = QuotaMessage;
    type State = QuotaState;
    type Arguments = QuotaArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<QuotaMessage>,
        arguments: QuotaArguments,
    ) -> Result<QuotaState, ActorProcessingErr> {
        let QuotaArguments { shared, peers } = arguments;
        let quotas = shared.context.quotas.clone();
        quotas.connect(Arc::new(ActorShortages(myself.clone())));
        myself.send_interval(TICK, || QuotaMessage::Tick);
        let claims = ClaimState::new(shared.context.clock.now());
        Ok(QuotaState {
            shared,
            peers,
            quotas,
            generation: None,
            resources: Vec::new(),
            orders: HashMap::new(),
            members: Arc::default(),
            counted_until: HashMap::new(),
            claims,
            ticks: 0,
            is_stopped: false,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<QuotaMessage>,
        message: QuotaMessage,
        state: &mut QuotaState,
    ) -> ActorResult {
        match message {
            QuotaMessage::Stop(port) => {
                let is_lent = state.stop().await;
                if port.send(is_lent).is_err() {
                    log::debug!("the caller no longer waits for the end of the quotas");
                }
            }
            _ if state.is_stopped => {}
            QuotaMessage::Tick => state.tick(&myself),
            QuotaMessage::Short(resource) => state.borrow(&myself, &resource),
            QuotaMessage::Asked(answer) => state.take_answer(&myself, answer),
            QuotaMessage::LeaseStarted(kind) => {
                log::debug!(kind:? = kind; "claim the grants of a new lease");
                state.claims.hasten();
            }
            QuotaMessage::Claimed(result) => state.take_claim(result),
        }
        Ok(())
    }
}

impl QuotaState {
    fn now(&self) -> MonoTime {
        self.shared.context.clock.now()
    }

    fn tick(&mut self, myself: &ActorRef<QuotaMessage>) {
        self.follow_config();
        self.follow_members();
        self.ticks = self.ticks.wrapping_add(1);
        let is_ahead = self.ticks.is_multiple_of(AHEAD_TICKS);
        for resource in self.resources.clone() {
            self.return_unused(&resource);
            if is_ahead || self.quotas.waiting(&resource) > 0 {
                self.borrow(myself, &resource);
            }
        }
        self.claim_due(myself);
    }

    /// Puts the limits of a new generation into force.
    fn follow_config(&mut self) {
        let config = self.shared.context.config.load_full();
        let Some(config) = config.filter(|it| Some(it.generation) != self.generation) else {
            return;
        };
        self.generation = Some(config.generation);
        let limits = configured_limits(&config);
        let now = self.now();
        let kept: HashSet<&ResourceId> = limits.iter().map(|it| &it.0).collect();
        for gone in self.resources.iter().filter(|it| !kept.contains(it)) {
            let nothing = QuotaLimits::default();
            self.quotas.ledger().ledger(gone).set_limits(now, gone, nothing);
        }
        for (resource, limits) in &limits {
            self.quotas.ledger().ledger(resource).set_limits(now, resource, *limits);
        }
        self.resources = limits.into_iter().map(|it| it.0).collect();
        self.orders.retain(|it, _| self.resources.contains(it));
        self.rank_peers();
        self.claims.hasten();
    }

    /// Notes changes of the members: whom to ask, and how many share.
    fn follow_members(&mut self) {
        let members = self.shared.context.members.load_full();
        let now = self.now();
        for live in members.iter().filter(|it| it.state.is_live()) {
            self.counted_until.insert(live.id.clone(), now.after(RESTART_GRACE));
        }
        if !Arc::ptr_eq(&members, &self.members) {
            self.members = members;
            self.counted_until.retain(|_, until| now < *until);
            self.rank_peers();
        }
    }

    fn rank_peers(&mut self) {
        let own = &self.shared.context.identity;
        for resource in &self.resources {
            let lenders = self.members.iter().filter(|it| it.state.takes_callers());
            let lenders = lenders.filter(|it| it.id != own.id && it.incarnation.0 > 0);
            let ranked = lenders.map(|it| {
                let distance = match () {
                    () if it.datacentre == own.datacentre => PeerDistance::Datacentre,
                    () if it.region == own.region => PeerDistance::Region,
                    () => PeerDistance::OtherRegion,
                };
                let rank = xxh3_64(format!("{resource} {} {}", own.id, it.id).as_bytes());
                (distance, rank, it.id.clone())
            });
            self.orders.entry(resource.clone()).or_default().set_peers(ranked);
        }
    }

    /// Hosts among which the whole is split.
    fn counted_hosts(&self) -> u32 {
        let now = self.now();
        let count = self.counted_until.values().filter(|it| now < **it).count();
        u32::try_from(count).unwrap_or(u32::MAX).max(1)
    }
}

/// Rates and bursts that the configuration gives to all hosts together.
fn configured_limits(config: &InstalledConfig) -> Vec<(ResourceId, QuotaLimits)> {
    let document = &config.document;
    let organisations = document.organisations.iter().map(|it| {
        let resource = ResourceId::Organisation(it.id.clone());
        (resource, QuotaLimits { rate: it.rate, burst: it.burst })
    });
    let spills = document.services.iter().flat_map(|service| {
        service.spill.iter().map(|it| {
            let (service, region) = (service.id.clone(), it.into.clone());
            let limits = QuotaLimits { rate: it.rate, burst: it.burst };
            (ResourceId::Spill { service, region }, limits)
        })
    });
    organisations.chain(spills).collect()
}
