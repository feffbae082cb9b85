//! A disk in memory under SQLite, which records each operation in order, so that what any loss of power would have
//! left can be made from it; and which can be told to fail, to fill up or to hang.

use std::{
    collections::BTreeMap,
    ffi::{CStr, c_char, c_int, c_void},
    io,
    path::Path,
    sync::{Condvar, Mutex, MutexGuard, Once, PoisonError},
};

use control_daemon::disk::Storage;
use rusqlite::ffi;

const NAME: &CStr = c"stand-in";

#[derive(Clone, Debug)]
pub enum Op {
    Create(usize, String),
    Remove(String),
    Write(usize, usize, Vec<u8>),
    Length(usize, usize),
    Sync(usize),
    /// A sync that failed: what was written before it is on the disk or not, and no later sync sees to it.
    SyncLost(usize),
    SyncNames,
    /// This version was acknowledged as synced; 0: the folder is open.
    Acknowledged(u64),
}

/// What becomes of the disk's operations, counted from its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    Refuses,
    Full,
    Hangs,
}

/// A fault that lasts for some steps.
#[derive(Clone, Debug)]
pub struct InjectedFault {
    /// The steps that it befalls.
    pub steps: std::ops::Range<u64>,
    pub kind: FaultKind,
}

#[derive(Default)]
pub struct Folder {
    files: Vec<Vec<u8>>,
    names: BTreeMap<String, usize>,
    pub log: Vec<Op>,
    pub steps: u64,
    pub fault: Option<InjectedFault>,
    /// Open files. With the last of them a folder that is only passing goes.
    open: usize,
    pub passing: bool,
}

impl Folder {
    pub fn of(files: &BTreeMap<String, Vec<u8>>) -> Self {
        let names = files
            .keys()
            .enumerate()
            .map(|(i, n)| (n.clone(), i))
            .collect();
        Folder {
            files: files.values().cloned().collect(),
            names,
            ..Folder::default()
        }
    }
    /// Counts a step that changes something; gives the fault that it meets.
    fn step(&mut self) -> Option<FaultKind> {
        self.steps += 1;
        self.fault
            .as_ref()
            .filter(|fault| fault.steps.contains(&self.steps))
            .map(|fault| fault.kind)
    }
}

static FOLDERS: Mutex<BTreeMap<String, Folder>> = Mutex::new(BTreeMap::new());
static HEALED: Condvar = Condvar::new();

fn folders() -> MutexGuard<'static, BTreeMap<String, Folder>> {
    FOLDERS.lock().unwrap_or_else(PoisonError::into_inner)
}
/// Looks at a folder, which is there from the first look on.
pub fn with<T>(folder: &str, f: impl FnOnce(&mut Folder) -> T) -> T {
    f(folders().entry(folder.into()).or_default())
}
/// Ends the disk's fault, and resumes what hangs there.
pub fn heal(folder: &str) {
    with(folder, |folder| folder.fault = None);
    HEALED.notify_all();
}
/// As `with`, for an operation that changes something: it waits while the disk hangs.
fn change<T>(folder: &str, code: c_int, f: impl FnOnce(&mut Folder) -> T) -> Result<T, c_int> {
    let mut all = folders();
    let d = all.entry(folder.into()).or_default();
    match d.step() {
        None => Ok(f(d)),
        Some(FaultKind::Refuses) => Err(code),
        Some(FaultKind::Full) => Err(ffi::SQLITE_FULL),
        Some(FaultKind::Hangs) => {
            let hangs = |all: &mut BTreeMap<String, Folder>| {
                all.get(folder).is_some_and(|d| d.fault.is_some())
            };
            let mut all = HEALED
                .wait_while(all, hangs)
                .unwrap_or_else(PoisonError::into_inner);
            Ok(f(all.entry(folder.into()).or_default()))
        }
    }
}

/// The storage that a disk is started on.
pub fn storage() -> Storage {
    static ONCE: Once = Once::new();
    ONCE.call_once(register);
    Storage {
        vfs: Some(NAME),
        create_folder: |_| Ok(()),
        sync_folder,
        rewrite_file,
    }
}
fn sync_folder(p: &Path) -> io::Result<()> {
    let done = change(&p.to_string_lossy(), ffi::SQLITE_IOERR_DIR_FSYNC, |f| {
        f.log.push(Op::SyncNames)
    });
    done.map_err(|c| io::Error::other(format!("code {c}")))
}

fn rewrite_file(p: &Path) -> io::Result<()> {
    let (folder, file) = p
        .to_str()
        .and_then(|p| p.rsplit_once('/'))
        .unwrap_or_default();
    let Some(i) = with(folder, |d| d.names.get(file).copied()) else {
        return Ok(());
    };
    let done = change(folder, ffi::SQLITE_IOERR_WRITE, |d| {
        d.log.push(Op::Write(i, 0, d.files[i].clone()))
    });
    let done = done.and_then(|()| {
        let r = change(folder, ffi::SQLITE_IOERR_FSYNC, |d| d.log.push(Op::Sync(i)));
        r.inspect_err(|_| with(folder, |d| d.log.push(Op::SyncLost(i))))
    });
    done.map_err(|c| io::Error::other(format!("code {c}")))
}

#[repr(C)]
struct File {
    base: ffi::sqlite3_file,
    at: *mut Open,
}
struct Open {
    folder: String,
    file: usize,
    /// Its name was made with it and is synced with its first sync, as SQLite does on machines for all but the database.
    new_name: bool,
}

unsafe fn split(name: *const c_char) -> (String, String) {
    let s = unsafe { CStr::from_ptr(name) }
        .to_string_lossy()
        .into_owned();
    let (folder, file) = s.rsplit_once('/').unwrap_or(("", &s));
    (folder.into(), file.into())
}
unsafe fn open_file<'a>(f: *mut ffi::sqlite3_file) -> &'a mut Open {
    unsafe { &mut *(*f.cast::<File>()).at }
}
fn code(r: Result<(), c_int>) -> c_int {
    r.err().unwrap_or(ffi::SQLITE_OK)
}

unsafe extern "C" fn open(
    _: *mut ffi::sqlite3_vfs,
    name: ffi::sqlite3_filename,
    f: *mut ffi::sqlite3_file,
    flags: c_int,
    out: *mut c_int,
) -> c_int {
    unsafe { (*f).pMethods = std::ptr::null() };
    if name.is_null() {
        return ffi::SQLITE_CANTOPEN;
    }
    let (folder, file) = unsafe { split(name) };
    let known = with(&folder, |d| d.names.get(&file).copied());
    let beside = flags
        & (ffi::SQLITE_OPEN_MAIN_JOURNAL | ffi::SQLITE_OPEN_SUPER_JOURNAL | ffi::SQLITE_OPEN_WAL)
        != 0;
    let made = match known {
        Some(i) => Ok(i),
        None if flags & ffi::SQLITE_OPEN_CREATE == 0 => Err(ffi::SQLITE_CANTOPEN),
        None => change(&folder, ffi::SQLITE_CANTOPEN, |d| {
            d.files.push(Vec::new());
            let i = d.files.len() - 1;
            d.names.insert(file.clone(), i);
            d.log.push(Op::Create(i, file.clone()));
            i
        }),
    };
    let i = match made {
        Ok(i) => i,
        Err(c) => return c,
    };
    with(&folder, |d| d.open += 1);
    let at = Box::into_raw(Box::new(Open {
        folder,
        file: i,
        new_name: beside && known.is_none(),
    }));
    unsafe {
        (*f.cast::<File>()).at = at;
        (*f).pMethods = &raw const METHODS.0;
        if !out.is_null() {
            *out = flags;
        }
    }
    ffi::SQLITE_OK
}
unsafe extern "C" fn close(f: *mut ffi::sqlite3_file) -> c_int {
    let o = unsafe { Box::from_raw((*f.cast::<File>()).at) };
    let gone = with(&o.folder, |d| {
        d.open -= 1;
        d.passing && d.open == 0
    });
    if gone {
        folders().remove(&o.folder);
    }
    ffi::SQLITE_OK
}
unsafe extern "C" fn read(
    f: *mut ffi::sqlite3_file,
    to: *mut c_void,
    n: c_int,
    from: i64,
) -> c_int {
    let (o, n, from) = (unsafe { open_file(f) }, n as usize, from as usize);
    let to = unsafe { std::slice::from_raw_parts_mut(to.cast::<u8>(), n) };
    with(&o.folder, |d| {
        let all = &d.files[o.file];
        let part = all.get(from..all.len().min(from + n)).unwrap_or(&[]);
        to.fill(0);
        to[..part.len()].copy_from_slice(part);
        if part.len() < n {
            ffi::SQLITE_IOERR_SHORT_READ
        } else {
            ffi::SQLITE_OK
        }
    })
}
pub fn put(all: &mut Vec<u8>, at: usize, b: &[u8]) {
    if all.len() < at + b.len() {
        all.resize(at + b.len(), 0);
    }
    all[at..at + b.len()].copy_from_slice(b);
}
unsafe extern "C" fn write(
    f: *mut ffi::sqlite3_file,
    from: *const c_void,
    n: c_int,
    at: i64,
) -> c_int {
    let o = unsafe { open_file(f) };
    let b = unsafe { std::slice::from_raw_parts(from.cast::<u8>(), n as usize) };
    code(change(&o.folder, ffi::SQLITE_IOERR_WRITE, |d| {
        put(&mut d.files[o.file], at as usize, b);
        d.log.push(Op::Write(o.file, at as usize, b.to_vec()));
    }))
}
unsafe extern "C" fn truncate(f: *mut ffi::sqlite3_file, n: i64) -> c_int {
    let o = unsafe { open_file(f) };
    code(change(&o.folder, ffi::SQLITE_IOERR_TRUNCATE, |d| {
        d.files[o.file].resize(n as usize, 0);
        d.log.push(Op::Length(o.file, n as usize));
    }))
}
unsafe extern "C" fn sync(f: *mut ffi::sqlite3_file, _: c_int) -> c_int {
    let o = unsafe { open_file(f) };
    let done = change(&o.folder, ffi::SQLITE_IOERR_FSYNC, |d| {
        d.log.push(Op::Sync(o.file));
        if o.new_name {
            d.log.push(Op::SyncNames);
        }
    });
    match done {
        Ok(()) => o.new_name = false,
        Err(_) => with(&o.folder, |d| d.log.push(Op::SyncLost(o.file))),
    }
    code(done)
}
unsafe extern "C" fn size(f: *mut ffi::sqlite3_file, out: *mut i64) -> c_int {
    let o = unsafe { open_file(f) };
    unsafe { *out = with(&o.folder, |d| d.files[o.file].len() as i64) };
    ffi::SQLITE_OK
}
unsafe extern "C" fn lock(_: *mut ffi::sqlite3_file, _: c_int) -> c_int {
    ffi::SQLITE_OK
}
unsafe extern "C" fn reserved(_: *mut ffi::sqlite3_file, out: *mut c_int) -> c_int {
    unsafe { *out = 0 };
    ffi::SQLITE_OK
}
unsafe extern "C" fn control(_: *mut ffi::sqlite3_file, _: c_int, _: *mut c_void) -> c_int {
    ffi::SQLITE_NOTFOUND
}
unsafe extern "C" fn sector(_: *mut ffi::sqlite3_file) -> c_int {
    4_096
}
/// As SQLite takes it on machines: a write harms no byte that it does not write.
unsafe extern "C" fn traits(_: *mut ffi::sqlite3_file) -> c_int {
    ffi::SQLITE_IOCAP_POWERSAFE_OVERWRITE
}
unsafe extern "C" fn remove(
    _: *mut ffi::sqlite3_vfs,
    name: *const c_char,
    names_too: c_int,
) -> c_int {
    let (folder, file) = unsafe { split(name) };
    if with(&folder, |d| !d.names.contains_key(&file)) {
        return ffi::SQLITE_IOERR_DELETE_NOENT;
    }
    code(change(&folder, ffi::SQLITE_IOERR_DELETE, |d| {
        d.names.remove(&file);
        d.log.push(Op::Remove(file));
        if names_too != 0 {
            d.log.push(Op::SyncNames);
        }
    }))
}
unsafe extern "C" fn access(
    _: *mut ffi::sqlite3_vfs,
    name: *const c_char,
    _: c_int,
    out: *mut c_int,
) -> c_int {
    let (folder, file) = unsafe { split(name) };
    unsafe { *out = c_int::from(with(&folder, |d| d.names.contains_key(&file))) };
    ffi::SQLITE_OK
}
unsafe extern "C" fn full(
    _: *mut ffi::sqlite3_vfs,
    name: *const c_char,
    most: c_int,
    out: *mut c_char,
) -> c_int {
    let b = unsafe { CStr::from_ptr(name) }.to_bytes_with_nul();
    if b.len() > most as usize {
        return ffi::SQLITE_CANTOPEN;
    }
    unsafe { std::ptr::copy_nonoverlapping(b.as_ptr().cast(), out, b.len()) };
    ffi::SQLITE_OK
}
unsafe extern "C" fn random(_: *mut ffi::sqlite3_vfs, n: c_int, out: *mut c_char) -> c_int {
    // The log's salts come from here: alike in each run, but not alike in each log.
    static SEED: Mutex<u64> = Mutex::new(1);
    let mut seed = SEED.lock().unwrap_or_else(PoisonError::into_inner);
    *seed += 1;
    let mut r = fastrand::Rng::with_seed(*seed);
    r.fill(unsafe { std::slice::from_raw_parts_mut(out.cast::<u8>(), n as usize) });
    n
}
unsafe extern "C" fn rest(_: *mut ffi::sqlite3_vfs, us: c_int) -> c_int {
    us
}
unsafe extern "C" fn time(_: *mut ffi::sqlite3_vfs, out: *mut f64) -> c_int {
    unsafe { *out = 2_460_000.5 };
    ffi::SQLITE_OK
}

struct Methods(ffi::sqlite3_io_methods);
// Safety: a table of functions that is never written.
unsafe impl Sync for Methods {}
static METHODS: Methods = Methods(ffi::sqlite3_io_methods {
    iVersion: 1,
    xClose: Some(close),
    xRead: Some(read),
    xWrite: Some(write),
    xTruncate: Some(truncate),
    xSync: Some(sync),
    xFileSize: Some(size),
    xLock: Some(lock),
    xUnlock: Some(lock),
    xCheckReservedLock: Some(reserved),
    xFileControl: Some(control),
    xSectorSize: Some(sector),
    xDeviceCharacteristics: Some(traits),
    xShmMap: None,
    xShmLock: None,
    xShmBarrier: None,
    xShmUnmap: None,
    xFetch: None,
    xUnfetch: None,
});

fn register() {
    let vfs = ffi::sqlite3_vfs {
        iVersion: 1,
        szOsFile: size_of::<File>() as c_int,
        mxPathname: 512,
        pNext: std::ptr::null_mut(),
        zName: NAME.as_ptr(),
        pAppData: std::ptr::null_mut(),
        xOpen: Some(open),
        xDelete: Some(remove),
        xAccess: Some(access),
        xFullPathname: Some(full),
        xDlOpen: None,
        xDlError: None,
        xDlSym: None,
        xDlClose: None,
        xRandomness: Some(random),
        xSleep: Some(rest),
        xCurrentTime: Some(time),
        xGetLastError: None,
        xCurrentTimeInt64: None,
        xSetSystemCall: None,
        xGetSystemCall: None,
        xNextSystemCall: None,
    };
    // Kept for good, as SQLite does.
    let done = unsafe { ffi::sqlite3_vfs_register(Box::into_raw(Box::new(vfs)), 0) };
    assert_eq!(done, ffi::SQLITE_OK);
}
