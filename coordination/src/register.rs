//! Registers: each key is a register that is written by Paxos.
//!
//! A key has one owner, the proposer, under a rising epoch. The owner acquires the key by promises of a majority of
//! voters, and then has one value after the other accepted by a majority, on disk, before it answers. Any two majorities
//! share a voter; so a new owner finds whatever may be committed, and a former one is refused. Keys of singleton roles
//! also carry a lease: voters promise such a key to no other daemon while its holder's lease runs.
//!
//! One daemon is acceptor and proposer at once. Parts, each with its own state:
//!
//! | module | what it is |
//! |---|---|
//! | `keys` | the classes of keys |
//! | `member_config` | who votes, under which member epoch |
//! | `epochs` | the generator of epochs |
//! | `slots` | what this voter has promised and accepted |
//! | `lease_grants` | leases that this voter has granted |
//! | `ownership` | the proposer's state of one key |
//! | `acceptor` | prepare, accept, commit, renew and release, as a voter takes them |
//! | `acquisition` | how a key is acquired and relinquished |
//! | `proposer` | how requests are served and writes committed |
//! | `confirmation` | leases and reads: ownership that a majority has confirmed |
//! | `prior_writes` | repeated orders |
//! | `catching_up` | member epochs and slots that are taken over from others |
//! | `reconfiguration` | changes of the voters, and how a new one catches up |
//! | `timers` | what happens as time passes |

use std::collections::BTreeMap;

use wire_messages::{Change, List, Message, Name, Slot, Voter};

use crate::{
    Effects, Ms, Row,
    effect::send,
    rendezvous::rendezvous_weight,
    state_table::{SpecParser, parse_own_spec},
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
pub use keys::{CONTEXT_PREFIX, MEMBERS_KEY, ROLLOUT_PREFIX, USAGE_KEY};
pub use member_config::MemberConfig;
pub use ownership::DisplacedRequest;
pub use prior_writes::REPLACED_VALUES_KEPT;
pub use reconfiguration::SlotsReplyOutcome;

/// All registers of one control daemon.
#[derive(Clone, Debug)]
pub struct Registers {
    name: Name,
    /// Who votes, under which member epoch.
    pub members: MemberConfig,
    catch_up: CatchUp,
    /// Addresses of control daemons that do not vote: commits are sent to them too.
    pub followers: Vec<Name>,
    /// Addresses that voters have now, by name, where they differ from those in the member configuration.
    addrs: BTreeMap<Name, Name>,
    epochs: EpochGenerator,
    slots: Slots,
    lease_grants: LeaseGrants,
    ownerships: BTreeMap<Name, Ownership>,
    next_renewal: Ms,
    next_ownership_check: Ms,
    /// Writes and reads that waited for keys which are no longer owned here.
    pub displaced: Vec<DisplacedRequest>,
    /// Values newly known to be committed, for the change stream.
    pub newly_committed: Vec<Change>,
    /// How the operator's document is read.
    pub spec_parser: SpecParser,
    releases: ReleaseCache,
}

impl Registers {
    /// The registers as they are on the disk with this number. `lease_duration` is in ms.
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
            spec_parser: parse_own_spec,
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

    /// Votes from now on. Leases that others granted before are unknown here: one is waited out.
    pub fn start_voting(&mut self, now: Ms) {
        self.members.voting = true;
        self.lease_grants.abstain_for_one_lease(now);
    }

    /// Nobody has ever voted: there is no lease to wait out.
    pub fn skip_lease_wait(&mut self) {
        self.lease_grants.skip_abstention();
    }

    /// Notes the address that a control daemon has now.
    pub fn set_addr(&mut self, name: &Name, addr: &Name) {
        self.addrs.insert(name.clone(), addr.clone());
    }

    /// The address that a voter has now, as far as known.
    pub fn addr(&self, voter: &Voter) -> Name {
        self.addrs.get(&voter.name).unwrap_or(&voter.addr).clone()
    }

    /// Whether so many voters are a majority of all.
    pub fn is_majority(&self, voter_count: usize) -> bool {
        voter_count >= self.members.majority()
    }

    /// The voter that should own a key: the first live one in the key's rendezvous order, on which all agree that see
    /// the same voters live.
    pub fn preferred_owner(&self, key: &str, is_live: &dyn Fn(&str) -> bool) -> Option<&Voter> {
        let rendezvous_key = rendezvous_key(key);
        self.members
            .voters
            .iter()
            .filter(|voter| is_live(&voter.name))
            .max_by_key(|voter| rendezvous_weight(&rendezvous_key, &voter.name))
    }

    /// Whether a write to the key is in flight here, or any request waits.
    pub fn has_pending_writes(&self, key: &str) -> bool {
        self.ownerships
            .get(key)
            .is_some_and(Ownership::has_requests)
    }

    /// The slots of all keys.
    pub fn slots(&self) -> impl Iterator<Item = &Slot> {
        self.slots.iter()
    }

    /// The slots of all keys without their values.
    pub fn slot_metadata(&self) -> List<Slot> {
        self.slots.metadata()
    }

    /// Slots in which this voter differs from one that has `others`.
    pub fn slots_differing_from(&self, others: &[Slot]) -> List<Slot> {
        self.slots.differing_from(others)
    }

    /// Whether everything that was accepted here is known to be committed.
    pub fn all_committed(&self) -> bool {
        self.slots.all_committed()
    }

    /// Digest over what is committed, for repair between daemons.
    pub fn committed_digest(&self) -> u64 {
        self.slots.committed_digest()
    }

    /// Sends a message to every voter, this one included if it is one.
    fn broadcast(&self, message: impl Into<Message>, out: &mut Effects) {
        let message = message.into();
        for voter in &self.members.voters {
            out.push(send(&self.addr(voter), message.clone()));
        }
    }
}

#[cfg(test)]
mod tests;
