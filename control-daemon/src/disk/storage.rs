//! What the data folder lies on: the machine's file system, or a stand-in for it.

use std::{ffi::CStr, fs, io, os::unix::fs::FileExt, path::Path};

/// Bytes that are rewritten at a time.
const REWRITE_BYTES: usize = 1 << 16;

/// What the data folder lies on: the machine's file system, or a stand-in for it.
#[derive(Clone, Copy)]
pub struct Storage {
    /// SQLite's way to files; none: its own.
    pub vfs: Option<&'static CStr>,
    /// Creates a folder whose name is durable.
    pub create_folder: fn(&Path) -> io::Result<()>,
    /// Makes the names in a folder durable.
    pub sync_folder: fn(&Path) -> io::Result<()>,
    /// Writes what a file reads as once more, if it is there, and syncs it.
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
    // A new folder's name is kept by the one above it.
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
