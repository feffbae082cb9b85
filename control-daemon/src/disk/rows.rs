//! Reads and writes rows in their stored encoding.

use coordination::{Row, voter_placement};
use rusqlite::{Connection, OptionalExtension, Transaction, params};
use wire_messages::{Blob, List, ReplacedValue, Slot, Voter};

/// Stored size of a replaced value in bytes: its release and its digest.
const REPLACED_BYTES: usize = 24;
/// Stored size of a replaced value's release in bytes.
const RELEASE_BYTES: usize = 8;

/// The voting state of a disk in its member epoch, as stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VotingState {
    /// It has not caught up, or is not a voter.
    NotVoting,
    /// It votes.
    Voting,
    /// It voted until this member epoch, in which another voter replaced it.
    Left,
}

impl VotingState {
    fn new(voting: bool, left: bool) -> Self {
        match (voting, left) {
            (true, _) => VotingState::Voting,
            (false, true) => VotingState::Left,
            (false, false) => VotingState::NotVoting,
        }
    }

    fn from_stored(code: u8) -> Self {
        match code {
            1 => VotingState::Voting,
            2 => VotingState::Left,
            _ => VotingState::NotVoting,
        }
    }

    fn to_stored(self) -> u8 {
        match self {
            VotingState::NotVoting => 0,
            VotingState::Voting => 1,
            VotingState::Left => 2,
        }
    }
}

pub(super) fn read_rows(connection: &Connection) -> rusqlite::Result<Vec<Row>> {
    let mut rows = Vec::new();
    rows.extend(read_members(connection)?);
    let mut query = connection
        .prepare("SELECT key, promised, epoch, version, committed, value, past FROM slots")?;
    let slots = query.query_map([], |row| {
        Ok(Slot {
            key: row.get::<_, String>(0)?.into(),
            promised_epoch: row.get(1)?,
            accepted_epoch: row.get(2)?,
            version: row.get(3)?,
            committed_version: row.get(4)?,
            value: Blob(row.get(5)?),
            replaced: decode_replaced(&row.get::<_, Vec<u8>>(6)?),
        })
    })?;
    for slot in slots {
        rows.push(Row::Slot(slot?));
    }
    Ok(rows)
}

fn read_members(connection: &Connection) -> rusqlite::Result<Option<Row>> {
    let query = "SELECT me, voters, voting, before FROM members";
    connection
        .query_row(query, [], |row| {
            let voters: String = row.get(1)?;
            let stored = voter_placement::decode(voters.as_bytes()).unwrap_or_default();
            let state = VotingState::from_stored(row.get(2)?);
            Ok(Row::Members {
                member_epoch: row.get(0)?,
                before: row.get(3)?,
                voters: stored.voters,
                voting: state == VotingState::Voting,
                left: state == VotingState::Left,
            })
        })
        .optional()
}

/// Decodes replaced values, which are stored back to back.
fn decode_replaced(bytes: &[u8]) -> List<ReplacedValue> {
    let (values, _) = bytes.as_chunks::<REPLACED_BYTES>();
    let decode = |bytes: &[u8; REPLACED_BYTES]| {
        let (mut release, mut digest) = ([0; 8], [0; 16]);
        release.copy_from_slice(&bytes[..RELEASE_BYTES]);
        digest.copy_from_slice(&bytes[RELEASE_BYTES..]);
        ReplacedValue {
            release: u64::from_be_bytes(release),
            digest: u128::from_be_bytes(digest),
        }
    };
    List(values.iter().map(decode).collect())
}

fn encode_replaced(values: &[ReplacedValue]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(values.len() * REPLACED_BYTES);
    for value in values {
        bytes.extend(value.release.to_be_bytes());
        bytes.extend(value.digest.to_be_bytes());
    }
    bytes
}

/// Writes rows in one transaction.
pub(super) fn write_rows(connection: &mut Connection, rows: &[Row]) -> rusqlite::Result<()> {
    let transaction = connection.transaction()?;
    for row in rows {
        match row {
            Row::Slot(slot) => write_slot(&transaction, slot)?,
            Row::Members {
                member_epoch,
                before,
                voters,
                voting,
                left,
            } => {
                let state = VotingState::new(*voting, *left);
                write_members(&transaction, *member_epoch, *before, voters, state)?;
            }
        }
    }
    transaction.commit()
}

fn write_slot(transaction: &Transaction, slot: &Slot) -> rusqlite::Result<()> {
    let statement =
        "INSERT OR REPLACE INTO slots (key, promised, epoch, version, committed, value, past)
        VALUES (?1, ?2, ?3, ?4, ?5, ?6, ?7)";
    transaction.prepare_cached(statement)?.execute(params![
        slot.key.0,
        slot.promised_epoch,
        slot.accepted_epoch,
        slot.version,
        slot.committed_version,
        slot.value.0,
        encode_replaced(&slot.replaced)
    ])?;
    Ok(())
}

fn write_members(
    transaction: &Transaction,
    member_epoch: u32,
    before: u32,
    voters: &[Voter],
    state: VotingState,
) -> rusqlite::Result<()> {
    let voters = String::from_utf8(voter_placement::encode(before, voters).0).unwrap_or_default();
    let statement = "INSERT OR REPLACE INTO members (one, me, voters, voting, before) VALUES (1, ?1, ?2, ?3, ?4)";
    transaction.execute(
        statement,
        params![member_epoch, voters, state.to_stored(), before],
    )?;
    Ok(())
}
