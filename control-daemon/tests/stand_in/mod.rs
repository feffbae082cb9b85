//! An in-memory disk for SQLite that records each operation in order, so that a test can construct the state that a
//! power loss would leave. Faults can be injected: the disk fails, is full or hangs.

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
    Truncate(usize, usize),
    Sync(usize),
    /// A failed sync: earlier writes may or may not be on the disk, and later syncs do not make them durable.
    SyncFailed(usize),
    SyncDirectory,
    /// This version was acknowledged as synced; 0: the folder was opened.
    Acknowledged(u64),
}

/// How operations on the disk fail.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    IoError,
    DiskFull,
    Hang,
}

/// A fault that lasts for a range of steps.
#[derive(Clone, Debug)]
pub struct InjectedFault {
    /// The affected steps, counted from the creation of the folder.
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
    /// Number of open files. A temporary folder is removed when the last one is closed.
    open: usize,
    pub is_temporary: bool,
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
    /// Counts a step that changes the folder; returns the fault injected at this step.
    fn step(&mut self) -> Option<FaultKind> {
        self.steps += 1;
        self.fault
            .as_ref()
            .filter(|fault| fault.steps.contains(&self.steps))
            .map(|fault| fault.kind)
    }
}

static FOLDERS: Mutex<BTreeMap<String, Folder>> = Mutex::new(BTreeMap::new());
static FAULT_CLEARED: Condvar = Condvar::new();

fn folders() -> MutexGuard<'static, BTreeMap<String, Folder>> {
    FOLDERS.lock().unwrap_or_else(PoisonError::into_inner)
}
/// Runs a function on a folder, which is created on first use.
pub fn with_folder<T>(folder: &str, f: impl FnOnce(&mut Folder) -> T) -> T {
    f(folders().entry(folder.into()).or_default())
}
/// Clears the fault of a folder, and resumes operations that hang.
pub fn clear_fault(folder: &str) {
    with_folder(folder, |folder| folder.fault = None);
    FAULT_CLEARED.notify_all();
}
/// Like `with_folder`, for an operation that changes the folder: fails on a fault, and waits while the disk hangs.
fn change<T>(folder: &str, code: c_int, f: impl FnOnce(&mut Folder) -> T) -> Result<T, c_int> {
    let mut all = folders();
    let d = all.entry(folder.into()).or_default();
    match d.step() {
        None => Ok(f(d)),
        Some(FaultKind::IoError) => Err(code),
        Some(FaultKind::DiskFull) => Err(ffi::SQLITE_FULL),
        Some(FaultKind::Hang) => {
            let hangs = |all: &mut BTreeMap<String, Folder>| {
                all.get(folder).is_some_and(|d| d.fault.is_some())
            };
            let mut all = FAULT_CLEARED
                .wait_while(all, hangs)
                .unwrap_or_else(PoisonError::into_inner);
            Ok(f(all.entry(folder.into()).or_default()))
        }
    }
}

/// Returns the storage to start a disk on.
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
        f.log.push(Op::SyncDirectory)
    });
    done.map_err(|c| io::Error::other(format!("code {c}")))
}

fn rewrite_file(p: &Path) -> io::Result<()> {
    let (folder, file) = p
        .to_str()
        .and_then(|p| p.rsplit_once('/'))
        .unwrap_or_default();
    let Some(i) = with_folder(folder, |d| d.names.get(file).copied()) else {
        return Ok(());
    };
    let done = change(folder, ffi::SQLITE_IOERR_WRITE, |d| {
        d.log.push(Op::Write(i, 0, d.files[i].clone()))
    });
    let done = done.and_then(|()| {
        let r = change(folder, ffi::SQLITE_IOERR_FSYNC, |d| d.log.push(Op::Sync(i)));
        r.inspect_err(|_| with_folder(folder, |d| d.log.push(Op::SyncFailed(i))))
    });
    done.map_err(|c| io::Error::other(format!("code {c}")))
}

#[repr(C)]
struct File {
    base: ffi::sqlite3_file,
    at: *mut OpenFile,
}
struct OpenFile {
    folder: String,
    file: usize,
    /// The file was created by this opening, and its first sync also syncs the directory, as SQLite's Unix VFS does for
    /// all files but the database.
    is_new_entry: bool,
}

unsafe fn split_path(name: *const c_char) -> (String, String) {
    let s = unsafe { CStr::from_ptr(name) }
        .to_string_lossy()
        .into_owned();
    let (folder, file) = s.rsplit_once('/').unwrap_or(("", &s));
    (folder.into(), file.into())
}
unsafe fn open_file<'a>(f: *mut ffi::sqlite3_file) -> &'a mut OpenFile {
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
    let (folder, file) = unsafe { split_path(name) };
    let existing = with_folder(&folder, |d| d.names.get(&file).copied());
    let is_journal = flags
        & (ffi::SQLITE_OPEN_MAIN_JOURNAL | ffi::SQLITE_OPEN_SUPER_JOURNAL | ffi::SQLITE_OPEN_WAL)
        != 0;
    let opened = match existing {
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
    let i = match opened {
        Ok(i) => i,
        Err(c) => return c,
    };
    with_folder(&folder, |d| d.open += 1);
    let at = Box::into_raw(Box::new(OpenFile {
        folder,
        file: i,
        is_new_entry: is_journal && existing.is_none(),
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
    let is_unused = with_folder(&o.folder, |d| {
        d.open -= 1;
        d.is_temporary && d.open == 0
    });
    if is_unused {
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
    with_folder(&o.folder, |d| {
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
pub fn write_at(all: &mut Vec<u8>, at: usize, b: &[u8]) {
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
        write_at(&mut d.files[o.file], at as usize, b);
        d.log.push(Op::Write(o.file, at as usize, b.to_vec()));
    }))
}
unsafe extern "C" fn truncate(f: *mut ffi::sqlite3_file, n: i64) -> c_int {
    let o = unsafe { open_file(f) };
    code(change(&o.folder, ffi::SQLITE_IOERR_TRUNCATE, |d| {
        d.files[o.file].resize(n as usize, 0);
        d.log.push(Op::Truncate(o.file, n as usize));
    }))
}
unsafe extern "C" fn sync(f: *mut ffi::sqlite3_file, _: c_int) -> c_int {
    let o = unsafe { open_file(f) };
    let done = change(&o.folder, ffi::SQLITE_IOERR_FSYNC, |d| {
        d.log.push(Op::Sync(o.file));
        if o.is_new_entry {
            d.log.push(Op::SyncDirectory);
        }
    });
    match done {
        Ok(()) => o.is_new_entry = false,
        Err(_) => with_folder(&o.folder, |d| d.log.push(Op::SyncFailed(o.file))),
    }
    code(done)
}
unsafe extern "C" fn file_size(f: *mut ffi::sqlite3_file, out: *mut i64) -> c_int {
    let o = unsafe { open_file(f) };
    unsafe { *out = with_folder(&o.folder, |d| d.files[o.file].len() as i64) };
    ffi::SQLITE_OK
}
unsafe extern "C" fn lock(_: *mut ffi::sqlite3_file, _: c_int) -> c_int {
    ffi::SQLITE_OK
}
unsafe extern "C" fn check_reserved_lock(_: *mut ffi::sqlite3_file, out: *mut c_int) -> c_int {
    unsafe { *out = 0 };
    ffi::SQLITE_OK
}
unsafe extern "C" fn file_control(_: *mut ffi::sqlite3_file, _: c_int, _: *mut c_void) -> c_int {
    ffi::SQLITE_NOTFOUND
}
unsafe extern "C" fn sector_size(_: *mut ffi::sqlite3_file) -> c_int {
    4_096
}
/// SQLite's default assumption: a write damages no bytes outside its range.
unsafe extern "C" fn device_characteristics(_: *mut ffi::sqlite3_file) -> c_int {
    ffi::SQLITE_IOCAP_POWERSAFE_OVERWRITE
}
unsafe extern "C" fn remove(
    _: *mut ffi::sqlite3_vfs,
    name: *const c_char,
    sync_directory: c_int,
) -> c_int {
    let (folder, file) = unsafe { split_path(name) };
    if with_folder(&folder, |d| !d.names.contains_key(&file)) {
        return ffi::SQLITE_IOERR_DELETE_NOENT;
    }
    code(change(&folder, ffi::SQLITE_IOERR_DELETE, |d| {
        d.names.remove(&file);
        d.log.push(Op::Remove(file));
        if sync_directory != 0 {
            d.log.push(Op::SyncDirectory);
        }
    }))
}
unsafe extern "C" fn access(
    _: *mut ffi::sqlite3_vfs,
    name: *const c_char,
    _: c_int,
    out: *mut c_int,
) -> c_int {
    let (folder, file) = unsafe { split_path(name) };
    unsafe { *out = c_int::from(with_folder(&folder, |d| d.names.contains_key(&file))) };
    ffi::SQLITE_OK
}
unsafe extern "C" fn full_pathname(
    _: *mut ffi::sqlite3_vfs,
    name: *const c_char,
    max_bytes: c_int,
    out: *mut c_char,
) -> c_int {
    let b = unsafe { CStr::from_ptr(name) }.to_bytes_with_nul();
    if b.len() > max_bytes as usize {
        return ffi::SQLITE_CANTOPEN;
    }
    unsafe { std::ptr::copy_nonoverlapping(b.as_ptr().cast(), out, b.len()) };
    ffi::SQLITE_OK
}
unsafe extern "C" fn randomness(_: *mut ffi::sqlite3_vfs, n: c_int, out: *mut c_char) -> c_int {
    // The salts of the log come from here: the same in each run, but different in each log.
    static SEED: Mutex<u64> = Mutex::new(1);
    let mut seed = SEED.lock().unwrap_or_else(PoisonError::into_inner);
    *seed += 1;
    let mut r = fastrand::Rng::with_seed(*seed);
    r.fill(unsafe { std::slice::from_raw_parts_mut(out.cast::<u8>(), n as usize) });
    n
}
unsafe extern "C" fn sleep(_: *mut ffi::sqlite3_vfs, us: c_int) -> c_int {
    us
}
unsafe extern "C" fn current_time(_: *mut ffi::sqlite3_vfs, out: *mut f64) -> c_int {
    unsafe { *out = 2_460_000.5 };
    ffi::SQLITE_OK
}

struct Methods(ffi::sqlite3_io_methods);
// Safety: the function table is never written.
unsafe impl Sync for Methods {}
static METHODS: Methods = Methods(ffi::sqlite3_io_methods {
    iVersion: 1,
    xClose: Some(close),
    xRead: Some(read),
    xWrite: Some(write),
    xTruncate: Some(truncate),
    xSync: Some(sync),
    xFileSize: Some(file_size),
    xLock: Some(lock),
    xUnlock: Some(lock),
    xCheckReservedLock: Some(check_reserved_lock),
    xFileControl: Some(file_control),
    xSectorSize: Some(sector_size),
    xDeviceCharacteristics: Some(device_characteristics),
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
        xFullPathname: Some(full_pathname),
        xDlOpen: None,
        xDlError: None,
        xDlSym: None,
        xDlClose: None,
        xRandomness: Some(randomness),
        xSleep: Some(sleep),
        xCurrentTime: Some(current_time),
        xGetLastError: None,
        xCurrentTimeInt64: None,
        xSetSystemCall: None,
        xGetSystemCall: None,
        xNextSystemCall: None,
    };
    // Leaked, as SQLite keeps the pointer for the life of the process.
    let done = unsafe { ffi::sqlite3_vfs_register(Box::into_raw(Box::new(vfs)), 0) };
    assert_eq!(done, ffi::SQLITE_OK);
}
