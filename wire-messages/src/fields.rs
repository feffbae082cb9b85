//! The three field shapes that `binrw` has no bounded form of: text, bytes and lists.

use std::{fmt, io, io::Read, ops::Deref};

use binrw::{BinRead, BinResult, BinWrite, Endian};

use crate::{MAX_FRAME, MAX_LIST, MAX_NAME};

/// How many follow, as a varint. It is held against its limit before anything is read for it.
fn read_count<R: io::Read + io::Seek>(
    r: &mut R,
    e: Endian,
    what: &str,
    most: usize,
) -> BinResult<usize> {
    let n = usize::try_from(Varint::read_options(r, e, ())?.0).unwrap_or(usize::MAX);
    if n > most {
        Err(too_long(r.stream_position()?, what, n))
    } else {
        Ok(n)
    }
}

fn too_long(at: u64, what: &str, n: usize) -> binrw::Error {
    binrw::Error::AssertFail {
        pos: at,
        message: format!("{what} of {n} is over its limit"),
    }
}

fn read_bytes<R: io::Read + io::Seek>(r: &mut R, n: usize) -> BinResult<Vec<u8>> {
    // Grow with what really arrives, so that a lying length cannot reserve memory.
    let mut v = Vec::new();
    io::Read::take(r, n as u64).read_to_end(&mut v)?;
    if v.len() < n {
        return Err(binrw::Error::Io(io::ErrorKind::UnexpectedEof.into()));
    }
    Ok(v)
}

/// A short UTF-8 label.
#[derive(
    Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Name(pub String);

impl Deref for Name {
    type Target = str;
    fn deref(&self) -> &str {
        &self.0
    }
}
impl std::borrow::Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}
impl<T: Into<String>> From<T> for Name {
    fn from(s: T) -> Self {
        Name(s.into())
    }
}
impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}
impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(&self.0)
    }
}
impl BinRead for Name {
    type Args<'a> = ();
    fn read_options<R: io::Read + io::Seek>(r: &mut R, e: Endian, _: ()) -> BinResult<Self> {
        let n = read_count(r, e, "name", MAX_NAME)?;
        let at = r.stream_position()?;
        String::from_utf8(read_bytes(r, n)?)
            .map(Name)
            .map_err(|e| binrw::Error::Custom {
                pos: at,
                err: Box::new(e.to_string()),
            })
    }
}
impl BinWrite for Name {
    type Args<'a> = ();
    fn write_options<W: io::Write + io::Seek>(&self, w: &mut W, e: Endian, _: ()) -> BinResult<()> {
        if self.0.len() > MAX_NAME {
            return Err(too_long(0, "name", self.0.len()));
        }
        Varint(self.0.len() as u64).write_options(w, e, ())?;
        Ok(w.write_all(self.0.as_bytes())?)
    }
}

/// Opaque bytes: the value of a key.
#[derive(Clone, Default, PartialEq, Eq, Hash)]
pub struct Blob(pub Vec<u8>);

impl fmt::Debug for Blob {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}B", self.0.len())
    }
}
impl BinRead for Blob {
    type Args<'a> = ();
    fn read_options<R: io::Read + io::Seek>(r: &mut R, e: Endian, _: ()) -> BinResult<Self> {
        let n = read_count(r, e, "blob", MAX_FRAME)?;
        read_bytes(r, n).map(Blob)
    }
}
impl BinWrite for Blob {
    type Args<'a> = ();
    fn write_options<W: io::Write + io::Seek>(&self, w: &mut W, e: Endian, _: ()) -> BinResult<()> {
        Varint(self.0.len() as u64).write_options(w, e, ())?;
        Ok(w.write_all(&self.0)?)
    }
}

/// A bounded list of messages' parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct List<T>(pub Vec<T>);

impl<T> Default for List<T> {
    fn default() -> Self {
        List(Vec::new())
    }
}
impl<T> Deref for List<T> {
    type Target = Vec<T>;
    fn deref(&self) -> &Vec<T> {
        &self.0
    }
}
impl<T> FromIterator<T> for List<T> {
    fn from_iter<I: IntoIterator<Item = T>>(i: I) -> Self {
        List(i.into_iter().collect())
    }
}
impl<T> IntoIterator for List<T> {
    type Item = T;
    type IntoIter = std::vec::IntoIter<T>;
    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}
impl<T: for<'a> BinRead<Args<'a> = ()>> BinRead for List<T> {
    type Args<'a> = ();
    fn read_options<R: io::Read + io::Seek>(r: &mut R, e: Endian, _: ()) -> BinResult<Self> {
        let n = read_count(r, e, "list", MAX_LIST)?;
        (0..n)
            .map(|_| T::read_options(r, e, ()))
            .collect::<BinResult<Vec<T>>>()
            .map(List)
    }
}
impl<T: for<'a> BinWrite<Args<'a> = ()>> BinWrite for List<T> {
    type Args<'a> = ();
    fn write_options<W: io::Write + io::Seek>(&self, w: &mut W, e: Endian, _: ()) -> BinResult<()> {
        if self.0.len() > MAX_LIST {
            return Err(too_long(0, "list", self.0.len()));
        }
        Varint(self.0.len() as u64).write_options(w, e, ())?;
        self.0.iter().try_for_each(|x| x.write_options(w, e, ()))
    }
}

/// A whole number that is small most of the time: seven bits a byte, the lowest first, as LEB128 has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Varint(pub u64);

impl Varint {
    /// Bits that a byte carries, and the mark that another follows.
    const BITS: u32 = 7;
    const MORE: u8 = 1 << Self::BITS;
}
impl BinRead for Varint {
    type Args<'a> = ();
    fn read_options<R: io::Read + io::Seek>(r: &mut R, e: Endian, _: ()) -> BinResult<Self> {
        let mut n = 0u64;
        for at in (0..u64::BITS).step_by(Self::BITS as usize) {
            let b = u8::read_options(r, e, ())?;
            let part = u64::from(b & !Self::MORE);
            // What does not fit was not written below, nor was a number longer than it must be.
            if (part << at) >> at != part || (b == 0 && at > 0) {
                break;
            }
            n |= part << at;
            if b & Self::MORE == 0 {
                return Ok(Varint(n));
            }
        }
        Err(binrw::Error::AssertFail {
            pos: r.stream_position()?,
            message: "no whole number of 64 bits".into(),
        })
    }
}
impl BinWrite for Varint {
    type Args<'a> = ();
    fn write_options<W: io::Write + io::Seek>(&self, w: &mut W, e: Endian, _: ()) -> BinResult<()> {
        let mut n = self.0;
        while n >= u64::from(Self::MORE) {
            (n as u8 | Self::MORE).write_options(w, e, ())?;
            n >>= Self::BITS;
        }
        (n as u8).write_options(w, e, ())
    }
}

#[cfg(test)]
mod tests;
