//! Key registers. Each key has one owner under a rising epoch; the owner has a value synced on a
//! majority of the voters' disks before it answers. Keys of duties also carry a lease: voters let no
//! other daemon take such a key while its holder's lease runs.

use std::{
    borrow::Cow,
    collections::{BTreeMap, BTreeSet, VecDeque},
};

use wire_messages::{Blob, Change, List, Name, ReplacedValue, Slot, Voter};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    Ms, Row,
    rendezvous::rendezvous_weight,
    state_table::{SpecParser, parse_own_spec},
};

mod acceptor;
mod owner;
mod prior_writes;
mod timers;
mod voters;
pub use prior_writes::REPLACED_VALUES_KEPT;

/// ms. A holder stops this long before voters do, covering clock rates that differ by up to 5%.
const LEASE_MARGIN: Ms = 200;

/// Keys of duties begin with this; their owner runs the rollout of the service named behind it.
pub const ROLLOUT_PREFIX: &str = "rollout/";
/// Keys of services' copies of shared context. They come with the duty: the same daemon owns both, under leases alike.
pub const CONTEXT_PREFIX: &str = "context/";
/// The voters themselves are a key.
pub const MEMBERS_KEY: &str = "members";

/// The row that keeps the highest epoch this daemon may have taken anything under; it is no key.
const EPOCHS_KEY: &str = "epochs";

fn is_leased(key: &str) -> bool {
    key.starts_with(ROLLOUT_PREFIX) || key.starts_with(CONTEXT_PREFIX)
}

/// Keys that operators write, and may write again without having heard of the first time.
fn keeps_history(key: &str) -> bool {
    !is_leased(key) && key != MEMBERS_KEY
}

/// The key by which the agreed order of a key's owners goes.
fn order_key(key: &str) -> Cow<'_, str> {
    key.strip_prefix(CONTEXT_PREFIX)
        .map_or(Cow::Borrowed(key), |s| {
            format!("{ROLLOUT_PREFIX}{s}").into()
        })
}

/// What must stand for a write to count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Expect {
    #[default]
    Any,
    /// This version of the key; 0: no value yet.
    Version(u64),
    /// A spec of this release of the operator's; 0: none yet.
    Release(u64),
    /// This version stood when the order was given. The same value is accepted under any version.
    UnchangedSince(u64),
}

impl From<Option<u64>> for Expect {
    fn from(v: Option<u64>) -> Self {
        v.map_or(Expect::Any, Expect::Version)
    }
}

#[derive(Clone, Debug)]
struct PendingRequest {
    token: u64,
    expect: Expect,
    /// None: the newest version is asked for.
    value: Option<Blob>,
    received_at: Ms,
}

#[derive(Clone, Debug)]
struct InFlightWrite {
    version: u64,
    value: Blob,
    replaced: List<ReplacedValue>,
    acks: BTreeSet<Name>,
    token: Option<u64>,
    expect: Expect,
    received_at: Ms,
    sent_at: Ms,
}

/// A write, or a reading where there is no value, whose key is no longer owned here.
#[derive(Clone, Debug)]
pub struct DisplacedRequest {
    pub token: u64,
    pub key: Name,
    pub expect: Expect,
    pub value: Option<Blob>,
    pub received_at: Ms,
    /// The version that it was offered to disks as: it may stand, or come to stand.
    pub offered_version: Option<u64>,
}

#[derive(Clone, Debug)]
enum OwnershipPhase {
    /// Promises so far, and the newest accepted value among them.
    Preparing {
        promises: BTreeSet<Name>,
        best: Slot,
        sent: Ms,
    },
    Owning {
        version: u64,
    },
}

/// This daemon's ownership of one key.
#[derive(Clone, Debug)]
struct Ownership {
    epoch: u64,
    phase: OwnershipPhase,
    in_flight: Option<InFlightWrite>,
    pending: VecDeque<PendingRequest>,
    /// Not before then: somebody's lease still runs, or a rival was ahead.
    not_before: Ms,
    /// A voter has promised a higher epoch: this one cannot win any more.
    superseded: bool,
    /// When each voter's latest renewal was asked for.
    confirmed_by: BTreeMap<Name, Ms>,
    /// When the voters were last asked whether the key is still this daemon's own.
    confirmation_sent_at: Ms,
}

#[derive(Clone, Debug)]
pub struct Registers {
    name: Name,
    pub member_epoch: u32,
    pub voters: Vec<Voter>,
    /// How many voters the member epoch before had; 0: not known.
    pub previous_voter_count: u32,
    pub voting: bool,
    /// It voted until this member epoch, which gave its place away: newcomers may still read it.
    pub retired: bool,
    /// Control daemons that do not vote: they are told what is committed.
    pub followers: Vec<Name>,
    /// ms. Life of a lease.
    lease_duration: Ms,
    addrs: BTreeMap<Name, Name>,
    slots: BTreeMap<Name, Slot>,
    ownerships: BTreeMap<Name, Ownership>,
    /// Who may keep a duty, as this voter let it: the holder's address, its epoch, until.
    grants: BTreeMap<Name, (Name, u64, Ms)>,
    abstain_until: Ms,
    highest_epoch: u64,
    next_renew: Ms,
    next_ownership_check: Ms,
    /// Writes and readings that waited for keys which are no longer owned here.
    pub displaced: Vec<DisplacedRequest>,
    /// Values newly known to be committed, for the feed.
    pub newly_committed: Vec<Change>,
    /// How the operator's document is read.
    pub spec_parser: SpecParser,
    /// The release last read from each key's value, with that value's epoch and version.
    releases: BTreeMap<Name, ((u64, u64), u64)>,
}

impl Registers {
    /// `lease`: the life of one, in ms.
    pub fn new(name: Name, rows: Vec<Row>, lease: Ms, now: Ms) -> Self {
        let mut r = Registers {
            name,
            member_epoch: 0,
            voters: Vec::new(),
            previous_voter_count: 0,
            voting: false,
            retired: false,
            followers: Vec::new(),
            lease_duration: lease,
            addrs: BTreeMap::new(),
            slots: BTreeMap::new(),
            ownerships: BTreeMap::new(),
            grants: BTreeMap::new(),
            // A voter that has just started has forgotten whom it let keep a duty; it waits those leases out.
            abstain_until: now + lease,
            highest_epoch: 0,
            next_renew: 0,
            next_ownership_check: 0,
            displaced: Vec::new(),
            newly_committed: Vec::new(),
            spec_parser: parse_own_spec,
            releases: BTreeMap::new(),
        };
        for row in rows {
            match row {
                Row::Members {
                    member_epoch,
                    before,
                    voters,
                    voting,
                    left,
                } => {
                    (
                        r.member_epoch,
                        r.previous_voter_count,
                        r.voters,
                        r.voting,
                        r.retired,
                    ) = (member_epoch, before, voters, voting, left);
                }
                Row::Slot(s) if &*s.key == EPOCHS_KEY => {
                    r.highest_epoch = r.highest_epoch.max(s.promised_epoch)
                }
                Row::Slot(s) => {
                    r.highest_epoch = r.highest_epoch.max(s.promised_epoch);
                    if s.committed_version == s.version && s.version > 0 {
                        r.newly_committed.push(change(&s));
                    }
                    r.slots.insert(s.key.clone(), s);
                }
            }
        }
        r
    }

    /// Votes from now on. It does not know whom others let keep a duty before they told it what they have.
    pub fn start_voting(&mut self, now: Ms) {
        self.voting = true;
        self.abstain_until = self.abstain_until.max(now + self.lease_duration);
    }
    /// No voter has let anybody keep a duty in any life.
    pub fn skip_lease_wait(&mut self) {
        self.abstain_until = 0;
    }
    pub fn set_addr(&mut self, name: &Name, addr: &Name) {
        self.addrs.insert(name.clone(), addr.clone());
    }
    pub fn addr(&self, v: &Voter) -> Name {
        self.addrs.get(&v.name).unwrap_or(&v.addr).clone()
    }
    /// Whether so many voters are a majority of all.
    pub fn is_majority(&self, voters: usize) -> bool {
        voters >= self.majority()
    }
    fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
    fn rank(&self) -> u64 {
        let mut v: Vec<&Name> = self.voters.iter().map(|v| &v.name).collect();
        v.sort();
        v.iter().position(|n| **n == self.name).unwrap_or(255) as u64
    }
    /// Above all known ones, and no other daemon's: under each member epoch a rank is one voter's alone.
    fn next_epoch(&mut self) -> u64 {
        self.highest_epoch = (((self.highest_epoch >> 24) + 1) << 24)
            | u64::from(self.member_epoch & 0xffff) << 8
            | self.rank();
        self.highest_epoch
    }
    pub fn slots(&self) -> impl Iterator<Item = &Slot> {
        self.slots.values()
    }
    /// What is had of each key, without the values.
    pub fn slot_metadata(&self) -> List<Slot> {
        let bare = |s: &Slot| Slot {
            key: s.key.clone(),
            value: Blob::default(),
            replaced: List::default(),
            ..*s
        };
        self.slots.values().map(bare).collect()
    }
    /// Slots in which this daemon differs from one that has `have`.
    pub fn slots_differing_from(&self, have: &[Slot]) -> List<Slot> {
        let stamp = |s: &Slot| {
            (
                s.promised_epoch,
                s.accepted_epoch,
                s.version,
                s.committed_version,
            )
        };
        let had: BTreeMap<&str, _> = have.iter().map(|s| (&*s.key, stamp(s))).collect();
        self.slots
            .values()
            .filter(|s| had.get(&*s.key) != Some(&stamp(s)))
            .cloned()
            .collect()
    }
    /// Whether nothing here waits to be known as committed.
    pub fn all_committed(&self) -> bool {
        self.slots
            .values()
            .all(|s| s.committed_version == s.version)
    }
    /// Digest over what is committed, for mending between daemons.
    pub fn committed_digest(&self) -> u64 {
        let done = self
            .slots
            .values()
            .filter(|s| s.committed_version == s.version && s.version > 0);
        done.fold(0, |a, s| {
            a ^ xxh3_64(format!("{} {} {}", s.key, s.accepted_epoch, s.version).as_bytes())
        })
    }
    /// The epoch under which this daemon owns a key, if it does; for a duty also until when.
    pub fn held_until(&self, key: &str, now: Ms) -> Option<(u64, Ms)> {
        let o = self.ownerships.get(key)?;
        let OwnershipPhase::Owning { .. } = o.phase else {
            return None;
        };
        if !is_leased(key) {
            return Some((o.epoch, Ms::MAX));
        }
        let until = self.lease_until(o);
        (until > now).then_some((o.epoch, until))
    }
    /// When a majority of voters was last asked, that has answered since, whether the key is still owned here.
    fn majority_confirmed_at(&self, o: &Ownership) -> Option<Ms> {
        let mut at: Vec<Ms> = o.confirmed_by.values().copied().collect();
        at.sort_unstable_by(|a, b| b.cmp(a));
        at.get(self.majority().wrapping_sub(1)).copied()
    }
    fn lease_until(&self, o: &Ownership) -> Ms {
        // A majority of voters keeps others out at least until then.
        self.majority_confirmed_at(o)
            .map_or(0, |t| t + self.lease_duration - LEASE_MARGIN)
    }
    /// The agreed first live voter for a key.
    pub fn preferred_owner(&self, key: &str, live: &dyn Fn(&str) -> bool) -> Option<&Voter> {
        let order_key = order_key(key);
        self.voters
            .iter()
            .filter(|v| live(&v.name))
            .max_by_key(|v| rendezvous_weight(&order_key, &v.name))
    }
    /// Whether a write to the key is under way or waits here.
    pub fn has_pending_writes(&self, key: &str) -> bool {
        self.ownerships
            .get(key)
            .is_some_and(|o| o.in_flight.is_some() || !o.pending.is_empty())
    }

    fn slot_mut(&mut self, key: &Name) -> &mut Slot {
        self.slots.entry(key.clone()).or_insert_with(|| Slot {
            key: key.clone(),
            ..Slot::default()
        })
    }
}

fn change(s: &Slot) -> Change {
    Change {
        key: s.key.clone(),
        epoch: s.accepted_epoch,
        version: s.version,
        value: s.value.clone(),
    }
}

#[cfg(test)]
mod tests;
