//! The disk: one thread owns the database and works through a buffer of commands. Commands that wait
//! together are synced together.

use daemon_parts::limits::DISK_BUFFER;
use std::{
    ffi::CStr,
    fs, io,
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
    sync::mpsc,
    thread,
};

use coordination::{Row, voter_placement};
use error_stack::{Report, ResultExt};
use rusqlite::{Connection, OpenFlags, OptionalExtension, params};
use tokio::sync::oneshot;
use wire_messages::{Blob, List, ReplacedValue, Slot};

/// The file under the data folder.
const FILE: &str = "control.sqlite";
/// Version of the database's layout. Layout 1 was written without a number and is the same; a newer one is not
/// touched, as a daemon that guesses could lose what it confirmed.
const LAYOUT: i64 = 5;
/// The first layout whose replaced values are told with their releases. What a former one holds of them says too little.
const LAYOUT_OF_RELEASES: i64 = 5;
/// Bytes of a replaced value, as stored: its release and its digest.
const REPLACED_BYTES: usize = 24;

/// The files beside the database, in the order in which they outrank it: what they hold is taken over into it.
const BESIDE: [&str; 2] = ["-journal", "-wal"];
/// Bytes that are written anew at a time.
const ANEW: usize = 1 << 16;

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

/// What the data folder lies on: the machine's file system, or a stand-in for it.
#[derive(Clone, Copy)]
pub struct Storage {
    /// SQLite's way to files; none: its own.
    pub vfs: Option<&'static CStr>,
    /// Makes a folder whose name lasts.
    pub make: fn(&Path) -> io::Result<()>,
    /// Has the names in a folder last.
    pub sync_names: fn(&Path) -> io::Result<()>,
    /// Writes what a file reads as once more, if it is there, and syncs it.
    pub write_anew: fn(&Path) -> io::Result<()>,
}

impl Default for Storage {
    fn default() -> Self {
        Storage {
            vfs: None,
            make,
            sync_names,
            write_anew,
        }
    }
}

fn make(folder: &Path) -> io::Result<()> {
    let missing: Vec<&Path> = folder
        .ancestors()
        .take_while(|p| !p.as_os_str().is_empty() && !p.exists())
        .collect();
    fs::create_dir_all(folder)?;
    // A new folder's name is kept by the one above it.
    missing
        .iter()
        .filter_map(|p| p.parent())
        .filter(|p| !p.as_os_str().is_empty())
        .try_for_each(sync_names)
}
fn sync_names(folder: &Path) -> io::Result<()> {
    fs::File::open(folder)?.sync_all()
}

fn write_anew(file: &Path) -> io::Result<()> {
    let f = match fs::OpenOptions::new().read(true).write(true).open(file) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(()),
        f => f?,
    };
    let (mut part, mut at) = (vec![0; ANEW], 0);
    loop {
        let n = f.read_at(&mut part, at)?;
        if n == 0 {
            return f.sync_all();
        }
        f.write_all_at(&part[..n], at)?;
        at += n as u64;
    }
}

enum Command {
    Sync(Vec<Row>, oneshot::Sender<Done<()>>),
    Open(oneshot::Sender<Done<Held>>),
}

/// Hands commands to the disk's thread.
#[derive(Clone)]
pub struct Disk(mpsc::SyncSender<Command>);

impl Disk {
    pub fn start(folder: PathBuf, limit: u64) -> Self {
        Self::start_on(Storage::default(), folder, limit)
    }
    pub fn start_on(storage: Storage, folder: PathBuf, limit: u64) -> Self {
        let (s, r) = mpsc::sync_channel(DISK_BUFFER);
        thread::spawn(move || work(storage, folder, limit, r));
        Disk(s)
    }
    pub fn sync(&self, rows: Vec<Row>) -> impl Future<Output = Done<()>> + use<> {
        self.ask(|s| Command::Sync(rows, s))
    }
    /// Opens the database, anew if it was open, and reads everything.
    pub fn open(&self) -> impl Future<Output = Done<Held>> + use<> {
        self.ask(Command::Open)
    }
    fn ask<T, C: FnOnce(oneshot::Sender<Done<T>>) -> Command>(
        &self,
        c: C,
    ) -> impl Future<Output = Done<T>> + use<T, C> {
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

fn work(storage: Storage, folder: PathBuf, limit: u64, r: mpsc::Receiver<Command>) {
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
                    let opened = open(storage, &folder, limit);
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
            let _ = s.send(
                ok.clone()
                    .map_err(|e| Report::new(DiskFault("sync")).attach(e)),
            );
        }
    }
}

fn open(storage: Storage, folder: &Path, limit: u64) -> Done<(Connection, Held)> {
    (storage.make)(folder).change_context(DiskFault("make the data folder"))?;
    let step = |s: &'static str| move || DiskFault(s);
    // After a sync that failed, files read as if it had not: the machine holds those bytes for written and no later sync
    // sees to them. What is read here is told to others, so it must be on the disk. Files beside first: a torn database
    // is made whole from them.
    for beside in BESIDE.into_iter().chain([""]) {
        (storage.write_anew)(&folder.join(format!("{FILE}{beside}")))
            .change_context(DiskFault("write a file anew"))?;
    }
    let (file, flags) = (folder.join(FILE), OpenFlags::default());
    let c = match storage.vfs {
        Some(v) => Connection::open_with_flags_and_vfs(file, flags, v),
        None => Connection::open_with_flags(file, flags),
    };
    let c = c.change_context_lazy(step("open the database"))?;
    // Before anything is read and before the journal is named: the log's index then stays in this process and is no
    // shared memory, also where the log is there already.
    c.execute_batch("PRAGMA locking_mode=EXCLUSIVE")
        .change_context_lazy(step("have the database alone"))?;
    let found: i64 = c
        .query_row("PRAGMA user_version", [], |r| r.get(0))
        .change_context_lazy(step("read the layout"))?;
    if found > LAYOUT {
        let m = format!("it has layout {found}, this daemon writes {LAYOUT}");
        return Err(Report::new(DiskFault("take over the data folder")).attach(m));
    }
    let journal = name_journal(&c).change_context(DiskFault("name the journal"))?;
    if journal != ["wal"] {
        return Err(
            Report::new(DiskFault("keep a log")).attach(format!("it would keep {journal:?}"))
        );
    }
    let setup = "PRAGMA synchronous=FULL;
        PRAGMA wal_autocheckpoint=256; PRAGMA cache_size=-256; PRAGMA temp_store=MEMORY;
        CREATE TABLE IF NOT EXISTS disk (id INTEGER NOT NULL);
        CREATE TABLE IF NOT EXISTS members (one INTEGER PRIMARY KEY CHECK (one = 1), me INTEGER NOT NULL, voters TEXT NOT NULL, voting INTEGER NOT NULL,
            before INTEGER NOT NULL DEFAULT 0);
        CREATE TABLE IF NOT EXISTS slots (key TEXT PRIMARY KEY, promised INTEGER NOT NULL, epoch INTEGER NOT NULL,
            version INTEGER NOT NULL, committed INTEGER NOT NULL, value BLOB NOT NULL, past BLOB NOT NULL DEFAULT x'') WITHOUT ROWID;";
    c.execute_batch(setup)
        .change_context_lazy(step("set the database up"))?;
    // What former layouts lack; each part may be there already where an earlier opening ended midway.
    for (table, column, shape) in [
        ("members", "before", "INTEGER NOT NULL DEFAULT 0"),
        ("slots", "past", "BLOB NOT NULL DEFAULT x''"),
    ] {
        let has = "SELECT count(*) FROM pragma_table_info(?1) WHERE name = ?2";
        let has: i64 = c
            .query_row(has, [table, column], |r| r.get(0))
            .change_context_lazy(step("read the layout"))?;
        if has == 0 {
            c.execute_batch(&format!("ALTER TABLE {table} ADD COLUMN {column} {shape}"))
                .change_context_lazy(step("take a former layout over"))?;
        }
    }
    if found < LAYOUT_OF_RELEASES {
        c.execute_batch("UPDATE slots SET past = x''")
            .change_context_lazy(step("take a former layout over"))?;
    }
    c.pragma_update(None, "user_version", LAYOUT)
        .change_context_lazy(step("write the layout"))?;
    let sound: String = c
        .query_row("PRAGMA quick_check", [], |r| r.get(0))
        .change_context_lazy(step("check the database"))?;
    if sound != "ok" {
        return Err(Report::new(DiskFault("trust the database")).attach(sound));
    }
    if limit > 0 {
        let size: u64 = c
            .query_row("PRAGMA page_size", [], |r| r.get(0))
            .change_context_lazy(step("read the page size"))?;
        c.execute_batch(&format!("PRAGMA max_page_count={}", limit / size.max(1)))
            .change_context_lazy(step("bound the database"))?;
    }
    let id: Option<u64> = c
        .query_row("SELECT id FROM disk", [], |r| r.get(0))
        .optional()
        .change_context_lazy(step("read the disk's number"))?;
    let blank = id.is_none();
    let id = id.unwrap_or_else(|| fastrand::u64(1..i64::MAX as u64));
    // Written at every opening: a disk that takes no writes is found out here.
    c.execute_batch(&format!(
        "BEGIN; DELETE FROM disk; INSERT INTO disk VALUES ({id}); COMMIT"
    ))
    .change_context_lazy(step("write the disk's number"))?;
    // The log is made anew at each opening: its name must last as long as what is written to it.
    (storage.sync_names)(folder).change_context(DiskFault("sync the data folder"))?;
    let rows = read(&c).change_context(DiskFault("read the state"))?;
    Ok((c, (id, blank, rows)))
}

/// Has the database keep a log. SQLite tells the mode before it has written it, so the statement is run to its end: with a
/// fault behind its answer the database would go on with a journal whose removal nobody syncs, and which may come back
/// after a loss of power and undo what was confirmed.
fn name_journal(c: &Connection) -> rusqlite::Result<Vec<String>> {
    c.prepare("PRAGMA journal_mode=WAL")?
        .query_map([], |r| r.get(0))?
        .collect()
}

fn read(c: &Connection) -> rusqlite::Result<Vec<Row>> {
    let mut rows = Vec::new();
    let members = c.query_row("SELECT me, voters, voting, before FROM members", [], |r| {
        Ok((
            r.get::<_, u32>(0)?,
            r.get::<_, String>(1)?,
            r.get::<_, u8>(2)?,
            r.get::<_, u32>(3)?,
        ))
    });
    if let Some((member_epoch, voters, voting, before)) = members.optional()? {
        let stored = voter_placement::decode(voters.as_bytes()).unwrap_or_default();
        rows.push(Row::Members {
            member_epoch,
            before,
            voters: stored.voters,
            voting: voting == VOTES,
            left: voting == LEFT,
        });
    }
    let mut q =
        c.prepare("SELECT key, promised, epoch, version, committed, value, past FROM slots")?;
    let slots = q.query_map([], |r| {
        Ok(Slot {
            key: r.get::<_, String>(0)?.into(),
            promised_epoch: r.get(1)?,
            accepted_epoch: r.get(2)?,
            version: r.get(3)?,
            committed_version: r.get(4)?,
            value: Blob(r.get(5)?),
            replaced: replaced_of_bytes(&r.get::<_, Vec<u8>>(6)?),
        })
    })?;
    for s in slots {
        rows.push(Row::Slot(s?));
    }
    Ok(rows)
}

/// Replaced values as they are stored, one behind the other.
fn replaced_of_bytes(b: &[u8]) -> List<ReplacedValue> {
    let (all, _) = b.as_chunks::<REPLACED_BYTES>();
    let one = |bytes: &[u8; REPLACED_BYTES]| {
        let (mut release, mut digest) = ([0; 8], [0; 16]);
        release.copy_from_slice(&bytes[..8]);
        digest.copy_from_slice(&bytes[8..]);
        ReplacedValue {
            release: u64::from_be_bytes(release),
            digest: u128::from_be_bytes(digest),
        }
    };
    List(all.iter().map(one).collect())
}
fn replaced_to_bytes(all: &[ReplacedValue]) -> Vec<u8> {
    all.iter()
        .flat_map(|r| {
            r.release
                .to_be_bytes()
                .into_iter()
                .chain(r.digest.to_be_bytes())
        })
        .collect()
}

fn write(c: &mut Connection, rows: &[Row]) -> rusqlite::Result<()> {
    let t = c.transaction()?;
    for r in rows {
        match r {
            Row::Slot(s) => {
                let sql = "INSERT OR REPLACE INTO slots (key, promised, epoch, version, committed, value, past)
                    VALUES (?1, ?2, ?3, ?4, ?5, ?6, ?7)";
                let past = replaced_to_bytes(&s.replaced);
                let row = params![
                    s.key.0,
                    s.promised_epoch,
                    s.accepted_epoch,
                    s.version,
                    s.committed_version,
                    s.value.0,
                    past
                ];
                t.prepare_cached(sql)?.execute(row)?;
            }
            Row::Members {
                member_epoch,
                before,
                voters,
                voting,
                left,
            } => {
                let voting = if *voting {
                    VOTES
                } else {
                    u8::from(*left) * LEFT
                };
                let v = String::from_utf8(voter_placement::encode(*before, voters).0)
                    .unwrap_or_default();
                let sql = "INSERT OR REPLACE INTO members (one, me, voters, voting, before) VALUES (1, ?1, ?2, ?3, ?4)";
                t.execute(sql, params![member_epoch, v, voting, before])?;
            }
        }
    }
    t.commit()
}

#[cfg(test)]
mod tests;
