//! Encoding of the members' key: JSON arrays, in the formats that the disks of all builds contain.

use serde::{Deserialize, Serialize};
use wire_messages::{Blob, Name, Voter};

/// The voters, and the number of voters before them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "StoredRows", into = "StoredRows")]
pub struct StoredVoters {
    /// 0 if unknown.
    pub previous_voter_count: u32,
    /// The voters.
    pub voters: Vec<Voter>,
}

/// Serialized form: the previous number of voters, and one row per voter.
type StoredRows = (u32, Vec<VoterRow>);
/// Name, disk id, address, zone, and the member epoch since which the daemon is a voter.
type VoterRow = (Name, u64, Name, Name, u32);
/// Row in the format before voters had zones: name, disk id, address.
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

/// Encodes voters for storage.
pub fn encode(previous_voter_count: u32, voters: &[Voter]) -> Blob {
    let stored = StoredVoters {
        previous_voter_count,
        voters: voters.to_vec(),
    };
    Blob(serde_json::to_vec(&stored).unwrap_or_default())
}

/// Decodes stored voters, also in the format before voters had zones. Returns `None` if the bytes are in neither
/// format.
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
