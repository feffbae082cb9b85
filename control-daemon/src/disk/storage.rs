//! File operations on the data folder: those of the file system, or a stand-in.

use std::{ffi::CStr, fs, io, os::unix::fs::FileExt, path::Path};

/// Size of the buffer that files are rewritten with, in bytes.
const REWRITE_BYTES: usize = 1 << 16;

/// File operations on the data folder: those of the file system, or a stand-in.
#[derive(Clone, Copy)]
pub struct Storage {
    /// Name of the SQLite VFS; none: SQLite's default.
    pub vfs: Option<&'static CStr>,
    /// Creates a folder and makes its directory entry durable.
    pub create_folder: fn(&Path) -> io::Result<()>,
    /// Makes the directory entries in a folder durable.
    pub sync_folder: fn(&Path) -> io::Result<()>,
    /// Rewrites a file with the bytes that it reads as, and syncs it; does nothing if it does not exist.
    pub rewrite_file: fn(&Path) -> io::Result<()>,
}

impl Default for Storage {
    fn default() -> Self {
        Storage {
            vfs: None,
            create_folder,
            sync_folder,
            rewrite_file,
        }
    }
}

fn create_folder(folder: &Path) -> io::Result<()> {
    let missing: Vec<&Path> = folder
        .ancestors()
        .take_while(|ancestor| !ancestor.as_os_str().is_empty() && !ancestor.exists())
        .collect();
    fs::create_dir_all(folder)?;
    // The directory entry of a new folder is stored in its parent.
    missing
        .iter()
        .filter_map(|created| created.parent())
        .filter(|parent| !parent.as_os_str().is_empty())
        .try_for_each(sync_folder)
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    fs::File::open(folder)?.sync_all()
}

fn rewrite_file(path: &Path) -> io::Result<()> {
    let file = match fs::OpenOptions::new().read(true).write(true).open(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
        opened => opened?,
    };
    let mut buffer = vec![0; REWRITE_BYTES];
    let mut offset = 0;
    loop {
        let length = file.read_at(&mut buffer, offset)?;
        if length == 0 {
            return file.sync_all();
        }
        file.write_all_at(&buffer[..length], offset)?;
        offset += length as u64;
    }
}
