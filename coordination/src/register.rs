//! Registers: each key is a register that is replicated by Paxos.
//!
//! A key has one owner, its proposer, under an increasing epoch. The owner acquires the key with promises from a
//! majority of voters. It then proposes one value after another, and answers a write once a majority has synced its
//! value. Any two majorities share a voter, so a new owner finds every value that may be committed, and a former
//! owner's proposals are refused. Keys of singleton roles also have a lease: while it runs, voters promise the key to
//! no daemon but the holder.
//!
//! Each control daemon is both acceptor and proposer. The modules, each with its own state:
//!
//! | module | contents |
//! |---|---|
//! | `keys` | classes of keys |
//! | `member_config` | voters and their member epoch |
//! | `epochs` | generator of epochs |
//! | `slots` | promises and accepted values of this voter |
//! | `lease_grants` | leases granted by this voter |
//! | `ownership` | proposer state of one key |
//! | `expectation` | condition under which a write is accepted |
//! | `acceptor` | a voter's handlers: prepare, accept, commit, renew and release |
//! | `acquisition` | acquiring and relinquishing a key |
//! | `proposer` | serving requests and committing writes |
//! | `confirmation` | leases and reads, based on ownership that a majority has confirmed |
//! | `prior_writes` | detection of repeated writes |
//! | `catching_up` | member epochs and slots copied from other daemons |
//! | `reconfiguration` | changes of the voters, and catch-up of new voters |
//! | `timers` | periodic work: ownership changes, resends, lease renewal and time-outs |

use std::collections::BTreeMap;

use wire_messages::{Change, List, Message, Name, Slot, Voter};

use crate::{
    Effects, Ms, Row,
    effect::send,
    rendezvous::rendezvous_weight,
    state_table::{SpecParser, parse_native_spec},
};
use epochs::{EPOCHS_KEY, EpochGenerator};
use keys::rendezvous_key;
use lease_grants::LeaseGrants;
use ownership::Ownership;
use prior_writes::ReleaseCache;
use reconfiguration::CatchUp;
use slots::{Slots, committed_change, is_committed};

mod acceptor;
mod acquisition;
mod catching_up;
mod confirmation;
mod epochs;
mod expectation;
mod keys;
mod lease_grants;
mod member_config;
mod ownership;
mod prior_writes;
mod proposer;
mod reconfiguration;
mod slots;
mod timers;

pub use expectation::Expect;
pub(crate) use keys::is_sent_to_edges;
pub use keys::{CONTEXT_PREFIX, EDGE_ROSTER_KEY, MEMBERS_KEY, ROLLOUT_PREFIX, USAGE_KEY};
pub use member_config::MemberConfig;
pub use ownership::DisplacedRequest;
pub use prior_writes::REPLACED_VALUES_KEPT;
pub use reconfiguration::SlotsReplyOutcome;

/// All registers of one control daemon.
#[derive(Clone, Debug)]
pub struct Registers {
    name: Name,
    /// Voters and their member epoch.
    pub members: MemberConfig,
    catch_up: CatchUp,
    /// Addresses of non-voting control daemons, which also receive commits.
    pub followers: Vec<Name>,
    /// Current addresses of voters, by name, where they differ from the member configuration.
    addrs: BTreeMap<Name, Name>,
    epochs: EpochGenerator,
    slots: Slots,
    lease_grants: LeaseGrants,
    ownerships: BTreeMap<Name, Ownership>,
    next_renewal: Ms,
    next_ownership_check: Ms,
    /// Writes and reads that were pending for keys that this daemon no longer owns.
    pub displaced: Vec<DisplacedRequest>,
    /// Values newly known to be committed, for the change feed.
    pub newly_committed: Vec<Change>,
    /// Parser of the operator's spec.
    pub spec_parser: SpecParser,
    releases: ReleaseCache,
}

impl Registers {
    /// Restores the registers from the rows of the disk with id `disk_id`. `lease_duration` is in ms.
    pub fn new(name: Name, disk_id: u64, rows: Vec<Row>, lease_duration: Ms, now: Ms) -> Self {
        let mut registers = Registers {
            name,
            members: MemberConfig::default(),
            catch_up: CatchUp::new(disk_id),
            followers: Vec::new(),
            addrs: BTreeMap::new(),
            epochs: EpochGenerator::default(),
            slots: Slots::default(),
            lease_grants: LeaseGrants::after_start(lease_duration, now),
            ownerships: BTreeMap::new(),
            next_renewal: 0,
            next_ownership_check: 0,
            displaced: Vec::new(),
            newly_committed: Vec::new(),
            spec_parser: parse_native_spec,
            releases: ReleaseCache::default(),
        };
        for row in rows {
            registers.load(row);
        }
        registers
    }

    fn load(&mut self, row: Row) {
        match row {
            Row::Members {
                member_epoch,
                before,
                voters,
                voting,
                left,
            } => {
                self.members = MemberConfig {
                    member_epoch,
                    voters,
                    previous_voter_count: before,
                    voting,
                    retired: left,
                };
            }
            Row::Slot(slot) => {
                self.epochs.observe(slot.promised_epoch);
                if &*slot.key == EPOCHS_KEY {
                    return;
                }
                if is_committed(&slot) {
                    self.newly_committed.push(committed_change(&slot));
                }
                self.slots.insert(slot);
            }
        }
    }

    /// Starts voting. This voter does not know the leases that others have granted, so it abstains for one lease
    /// duration.
    pub fn start_voting(&mut self, now: Ms) {
        self.members.voting = true;
        self.lease_grants.abstain_for_one_lease(now);
    }

    /// Skips the wait for earlier leases: no daemon has voted yet, so none were granted.
    pub fn skip_lease_wait(&mut self) {
        self.lease_grants.skip_abstention();
    }

    /// Sets the current address of a control daemon.
    pub fn set_addr(&mut self, name: &Name, addr: &Name) {
        self.addrs.insert(name.clone(), addr.clone());
    }

    /// Returns the current address of a voter, or the configured one if no other is known.
    pub fn addr(&self, voter: &Voter) -> Name {
        self.addrs.get(&voter.name).unwrap_or(&voter.addr).clone()
    }

    /// Returns whether `voter_count` voters are a majority.
    pub fn is_majority(&self, voter_count: usize) -> bool {
        voter_count >= self.members.majority()
    }

    /// Returns the voter that should own a key: the first live one in the key's rendezvous order. Daemons that see the
    /// same voters live return the same one.
    pub fn preferred_owner(&self, key: &str, is_live: &dyn Fn(&str) -> bool) -> Option<&Voter> {
        let rendezvous_key = rendezvous_key(key);
        self.members
            .voters
            .iter()
            .filter(|voter| is_live(&voter.name))
            .max_by_key(|voter| rendezvous_weight(&rendezvous_key, &voter.name))
    }

    /// Returns whether this daemon has a write in flight or pending requests for the key.
    pub fn has_pending_writes(&self, key: &str) -> bool {
        self.ownerships
            .get(key)
            .is_some_and(Ownership::has_requests)
    }

    /// Returns the slots of all keys.
    pub fn slots(&self) -> impl Iterator<Item = &Slot> {
        self.slots.iter()
    }

    /// Returns the slots of all keys without their values.
    pub fn slot_metadata(&self) -> List<Slot> {
        self.slots.metadata()
    }

    /// Returns the slots of this daemon that differ from `others`.
    pub fn slots_differing_from(&self, others: &[Slot]) -> List<Slot> {
        self.slots.differing_from(others)
    }

    /// Returns whether all values accepted by this daemon are known to be committed.
    pub fn all_committed(&self) -> bool {
        self.slots.all_committed()
    }

    /// Returns the digest of all committed values, for repair between daemons.
    pub fn committed_digest(&self) -> u64 {
        self.slots.committed_digest()
    }

    /// Sends a message to every voter, including this daemon if it is one.
    fn broadcast(&self, message: impl Into<Message>, out: &mut Effects) {
        let message = message.into();
        for voter in &self.members.voters {
            out.push(send(&self.addr(voter), message.clone()));
        }
    }
}

#[cfg(test)]
mod tests;
