//! The value of the members' key: JSON arrays, as disks of every build hold it.

use serde::{Deserialize, Serialize};
use wire_messages::{Blob, Name, Voter};

/// The voters, and how many there were before.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredRows", into = "StoredRows")]
pub struct StoredVoters {
    /// 0: not known.
    pub previous_voter_count: u32,
    /// The voters.
    pub voters: Vec<Voter>,
}

/// How it is spelled: the previous number of voters, and a row each.
type StoredRows = (u32, Vec<VoterRow>);
/// Name, disk id, address, zone, and the member epoch since which it is a voter.
type VoterRow = (Name, u64, Name, Name, u32);
/// The row of a voter before voters had zones: name, disk id, address.
type VoterRowWithoutZone = (Name, u64, Name);

impl From<StoredRows> for StoredVoters {
    fn from((previous_voter_count, rows): StoredRows) -> Self {
        let voter = |(name, disk_id, addr, zone, since_epoch): VoterRow| Voter {
            name,
            disk_id,
            addr,
            zone,
            since_epoch,
        };
        StoredVoters {
            previous_voter_count,
            voters: rows.into_iter().map(voter).collect(),
        }
    }
}

impl From<StoredVoters> for StoredRows {
    fn from(stored: StoredVoters) -> Self {
        let row = |voter: Voter| {
            (
                voter.name,
                voter.disk_id,
                voter.addr,
                voter.zone,
                voter.since_epoch,
            )
        };
        (
            stored.previous_voter_count,
            stored.voters.into_iter().map(row).collect(),
        )
    }
}

/// The voters as they are stored.
pub fn encode(previous_voter_count: u32, voters: &[Voter]) -> Blob {
    let stored = StoredVoters {
        previous_voter_count,
        voters: voters.to_vec(),
    };
    Blob(serde_json::to_vec(&stored).unwrap_or_default())
}

/// Reads stored voters, also as they were written before voters had zones; none if the bytes are neither.
pub fn decode(bytes: &[u8]) -> Option<StoredVoters> {
    if let Ok(stored) = serde_json::from_slice(bytes) {
        return Some(stored);
    }
    let rows: Vec<VoterRowWithoutZone> = serde_json::from_slice(bytes).ok()?;
    let voter = |(name, disk_id, addr)| Voter {
        name,
        disk_id,
        addr,
        ..Voter::default()
    };
    Some(StoredVoters {
        previous_voter_count: 0,
        voters: rows.into_iter().map(voter).collect(),
    })
}
