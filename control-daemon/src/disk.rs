//! The disk: one thread owns the database and works through a buffer of commands. Commands that wait
//! together are synced together.

use daemon_parts::limits::DISK_BUFFER;
use std::{path::PathBuf, sync::mpsc, thread};

use coordination::{Row, members};
use error_stack::{Report, ResultExt};
use rusqlite::{Connection, OptionalExtension, params};
use tokio::sync::oneshot;
use wire_messages::{Blob, List, Slot};

/// The file under the data folder.
const FILE: &str = "control.sqlite";
/// Version of the database's layout. Layout 1 was written without a number and is the same; a newer one is not
/// touched, as a daemon that guesses could lose what it confirmed.
const LAYOUT: i64 = 4;

/// How a disk stands to its member epoch, as stored; 0: it has not caught up, or has no place.
const VOTES: u8 = 1;
const LEFT: u8 = 2;

/// A step of the disk that failed.
#[derive(Debug)]
pub struct DiskFault(&'static str);

impl std::fmt::Display for DiskFault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "disk: could not {}", self.0)
    }
}
impl std::error::Error for DiskFault {}

type Done<T> = Result<T, Report<DiskFault>>;
/// The disk's own number, whether it was blank, and what it held.
pub type Held = (u64, bool, Vec<Row>);

enum Command {
    Sync(Vec<Row>, oneshot::Sender<Done<()>>),
    Open(oneshot::Sender<Done<Held>>),
}

/// Hands commands to the disk's thread.
#[derive(Clone)]
pub struct Disk(mpsc::SyncSender<Command>);

impl Disk {
    pub fn start(folder: PathBuf, limit: u64) -> Self {
        let (s, r) = mpsc::sync_channel(DISK_BUFFER);
        thread::spawn(move || work(folder, limit, r));
        Disk(s)
    }
    pub fn sync(&self, rows: Vec<Row>) -> impl Future<Output = Done<()>> + use<> {
        self.ask(|s| Command::Sync(rows, s))
    }
    /// Opens the database, anew if it was open, and reads everything.
    pub fn open(&self) -> impl Future<Output = Done<Held>> + use<> {
        self.ask(Command::Open)
    }
    fn ask<T, C: FnOnce(oneshot::Sender<Done<T>>) -> Command>(&self, c: C) -> impl Future<Output = Done<T>> + use<T, C> {
        let (s, r) = oneshot::channel();
        // Given to the disk here and not when first awaited: a newer row of a key must not go before an older one.
        // A full buffer is a disk that does not keep up: the same as one that fails.
        let taken = self.0.try_send(c(s)).is_ok();
        async move {
            if !taken {
                return Err(Report::new(DiskFault("take another command")));
            }
            r.await.change_context(DiskFault("end a command"))?
        }
    }
}

fn work(folder: PathBuf, limit: u64, r: mpsc::Receiver<Command>) {
    let mut db: Option<Connection> = None;
    while let Ok(first) = r.recv() {
        let mut rows = Vec::new();
        let mut told = Vec::new();
        let mut next = Some(first);
        while let Some(c) = next.take() {
            match c {
                Command::Sync(v, s) => {
                    rows.extend(v);
                    told.push(s);
                    next = r.try_recv().ok();
                }
                Command::Open(s) => {
                    db = None;
                    let opened = open(&folder, limit);
                    let _ = s.send(opened.map(|(c, held)| {
                        db = Some(c);
                        held
                    }));
                }
            }
        }
        if told.is_empty() {
            continue;
        }
        let ok = match db.as_mut() {
            Some(c) => write(c, &rows).map_err(|e| format!("{e:?}")),
            None => Err("not open".into()),
        };
        if ok.is_err() {
            // What a failed sync left behind is not known: nothing more is written before a fresh read.
            db = None;
        }
        for s in told {
            let _ = s.send(ok.clone().map_err(|e| Report::new(DiskFault("sync")).attach(e)));
        }
    }
}

fn open(folder: &PathBuf, limit: u64) -> Done<(Connection, Held)> {
    std::fs::create_dir_all(folder).change_context(DiskFault("make the data folder"))?;
    let step = |s: &'static str| move || DiskFault(s);
    let c = Connection::open(folder.join(FILE)).change_context_lazy(step("open the database"))?;
    let found: i64 = c.query_row("PRAGMA user_version", [], |r| r.get(0)).change_context_lazy(step("read the layout"))?;
    if found > LAYOUT {
        let m = format!("it has layout {found}, this daemon writes {LAYOUT}");
        return Err(Report::new(DiskFault("take over the data folder")).attach(m));
    }
    // Exclusive before the journal is named: the log's index then stays in this process and is no shared memory.
    let setup = "PRAGMA locking_mode=EXCLUSIVE; PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL;
        PRAGMA wal_autocheckpoint=256; PRAGMA cache_size=-256; PRAGMA temp_store=MEMORY;
        CREATE TABLE IF NOT EXISTS disk (id INTEGER NOT NULL);
        CREATE TABLE IF NOT EXISTS members (one INTEGER PRIMARY KEY CHECK (one = 1), me INTEGER NOT NULL, voters TEXT NOT NULL, voting INTEGER NOT NULL,
            before INTEGER NOT NULL DEFAULT 0);
        CREATE TABLE IF NOT EXISTS slots (key TEXT PRIMARY KEY, promised INTEGER NOT NULL, epoch INTEGER NOT NULL,
            version INTEGER NOT NULL, committed INTEGER NOT NULL, value BLOB NOT NULL, past BLOB NOT NULL DEFAULT x'') WITHOUT ROWID;";
    c.execute_batch(setup).change_context_lazy(step("set the database up"))?;
    // What former layouts lack; each part may be there already where an earlier opening ended midway.
    for (table, column, shape) in
        [("members", "before", "INTEGER NOT NULL DEFAULT 0"), ("slots", "past", "BLOB NOT NULL DEFAULT x''")]
    {
        let has = "SELECT count(*) FROM pragma_table_info(?1) WHERE name = ?2";
        let has: i64 = c.query_row(has, [table, column], |r| r.get(0)).change_context_lazy(step("read the layout"))?;
        if has == 0 {
            c.execute_batch(&format!("ALTER TABLE {table} ADD COLUMN {column} {shape}"))
                .change_context_lazy(step("take a former layout over"))?;
        }
    }
    c.pragma_update(None, "user_version", LAYOUT).change_context_lazy(step("write the layout"))?;
    let sound: String = c.query_row("PRAGMA quick_check", [], |r| r.get(0)).change_context_lazy(step("check the database"))?;
    if sound != "ok" {
        return Err(Report::new(DiskFault("trust the database")).attach(sound));
    }
    if limit > 0 {
        let size: u64 = c.query_row("PRAGMA page_size", [], |r| r.get(0)).change_context_lazy(step("read the page size"))?;
        c.execute_batch(&format!("PRAGMA max_page_count={}", limit / size.max(1)))
            .change_context_lazy(step("bound the database"))?;
    }
    let id: Option<u64> =
        c.query_row("SELECT id FROM disk", [], |r| r.get(0)).optional().change_context_lazy(step("read the disk's number"))?;
    let blank = id.is_none();
    let id = id.unwrap_or_else(|| fastrand::u64(1..i64::MAX as u64));
    // Written at every opening: a disk that takes no writes is found out here.
    c.execute_batch(&format!("BEGIN; DELETE FROM disk; INSERT INTO disk VALUES ({id}); COMMIT"))
        .change_context_lazy(step("write the disk's number"))?;
    // The log is made anew at each opening: its name must last as long as what is written to it.
    let dir = std::fs::File::open(folder).and_then(|d| d.sync_all());
    dir.change_context(DiskFault("sync the data folder"))?;
    let rows = read(&c).change_context(DiskFault("read the state"))?;
    Ok((c, (id, blank, rows)))
}

fn read(c: &Connection) -> rusqlite::Result<Vec<Row>> {
    let mut rows = Vec::new();
    let members = c.query_row("SELECT me, voters, voting, before FROM members", [], |r| {
        Ok((r.get::<_, u32>(0)?, r.get::<_, String>(1)?, r.get::<_, u8>(2)?, r.get::<_, u32>(3)?))
    });
    if let Some((me, voters, voting, before)) = members.optional()? {
        let (_, voters) = members::of_bytes(voters.as_bytes()).unwrap_or_default();
        rows.push(Row::Members { me, before, voters, voting: voting == VOTES, left: voting == LEFT });
    }
    let mut q = c.prepare("SELECT key, promised, epoch, version, committed, value, past FROM slots")?;
    let slots = q.query_map([], |r| {
        Ok(Slot {
            key: r.get::<_, String>(0)?.into(),
            promised: r.get(1)?,
            epoch: r.get(2)?,
            version: r.get(3)?,
            committed: r.get(4)?,
            value: Blob(r.get(5)?),
            past: digests(&r.get::<_, Vec<u8>>(6)?),
        })
    })?;
    for s in slots {
        rows.push(Row::Slot(s?));
    }
    Ok(rows)
}

/// Digests as they are stored, one behind the other.
fn digests(b: &[u8]) -> List<u64> {
    let (all, _) = b.as_chunks();
    List(all.iter().map(|d| u64::from_be_bytes(*d)).collect())
}

fn write(c: &mut Connection, rows: &[Row]) -> rusqlite::Result<()> {
    let t = c.transaction()?;
    for r in rows {
        match r {
            Row::Slot(s) => {
                let sql = "INSERT OR REPLACE INTO slots (key, promised, epoch, version, committed, value, past)
                    VALUES (?1, ?2, ?3, ?4, ?5, ?6, ?7)";
                let past: Vec<u8> = s.past.iter().flat_map(|d| d.to_be_bytes()).collect();
                let row = params![s.key.0, s.promised, s.epoch, s.version, s.committed, s.value.0, past];
                t.prepare_cached(sql)?.execute(row)?;
            }
            Row::Members { me, before, voters, voting, left } => {
                let voting = if *voting { VOTES } else { u8::from(*left) * LEFT };
                let v = String::from_utf8(members::to_bytes(*before, voters).0).unwrap_or_default();
                let sql = "INSERT OR REPLACE INTO members (one, me, voters, voting, before) VALUES (1, ?1, ?2, ?3, ?4)";
                t.execute(sql, params![me, v, voting, before])?;
            }
        }
    }
    t.commit()
}

#[cfg(test)]
mod tests;
