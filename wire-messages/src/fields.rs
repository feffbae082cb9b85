//! Field types for which `binrw` has no bounded form: text, bytes, lists and variable-length numbers.

use std::{fmt, io, io::Read, ops::Deref};

use binrw::{BinRead, BinResult, BinWrite, Endian};

use crate::{MAX_FRAME, MAX_LIST, MAX_NAME};

/// Reads a length as a [`Varint`] and checks it against its limit before anything is read or allocated for it.
fn read_length<R: io::Read + io::Seek>(
    reader: &mut R,
    endian: Endian,
    field: &str,
    limit: usize,
) -> BinResult<usize> {
    let encoded = Varint::read_options(reader, endian, ())?.0;
    let length = usize::try_from(encoded).unwrap_or(usize::MAX);
    if length > limit {
        return Err(too_long(reader.stream_position()?, field, length));
    }
    Ok(length)
}

fn too_long(position: u64, field: &str, length: usize) -> binrw::Error {
    binrw::Error::AssertFail {
        pos: position,
        message: format!("{field} of {length} is over its limit"),
    }
}

fn read_bytes<R: io::Read + io::Seek>(reader: &mut R, length: usize) -> BinResult<Vec<u8>> {
    // The buffer grows with the bytes received, so that a false length cannot allocate memory.
    let mut bytes = Vec::new();
    io::Read::take(reader, length as u64).read_to_end(&mut bytes)?;
    if bytes.len() < length {
        return Err(binrw::Error::Io(io::ErrorKind::UnexpectedEof.into()));
    }
    Ok(bytes)
}

/// A short UTF-8 label of at most [`MAX_NAME`] bytes.
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
    fn from(text: T) -> Self {
        Name(text.into())
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl BinRead for Name {
    type Args<'a> = ();
    fn read_options<R: io::Read + io::Seek>(
        reader: &mut R,
        endian: Endian,
        _: (),
    ) -> BinResult<Self> {
        let length = read_length(reader, endian, "name", MAX_NAME)?;
        let position = reader.stream_position()?;
        let bytes = read_bytes(reader, length)?;
        String::from_utf8(bytes)
            .map(Name)
            .map_err(|error| binrw::Error::Custom {
                pos: position,
                err: Box::new(error.to_string()),
            })
    }
}

impl BinWrite for Name {
    type Args<'a> = ();
    fn write_options<W: io::Write + io::Seek>(
        &self,
        writer: &mut W,
        endian: Endian,
        _: (),
    ) -> BinResult<()> {
        if self.0.len() > MAX_NAME {
            return Err(too_long(0, "name", self.0.len()));
        }
        Varint(self.0.len() as u64).write_options(writer, endian, ())?;
        Ok(writer.write_all(self.0.as_bytes())?)
    }
}

/// Opaque bytes: the value of a key, of at most [`MAX_FRAME`] bytes.
#[derive(Clone, Default, PartialEq, Eq, Hash)]
pub struct Blob(pub Vec<u8>);

impl fmt::Debug for Blob {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{}B", self.0.len())
    }
}

impl BinRead for Blob {
    type Args<'a> = ();
    fn read_options<R: io::Read + io::Seek>(
        reader: &mut R,
        endian: Endian,
        _: (),
    ) -> BinResult<Self> {
        let length = read_length(reader, endian, "blob", MAX_FRAME)?;
        read_bytes(reader, length).map(Blob)
    }
}

impl BinWrite for Blob {
    type Args<'a> = ();
    fn write_options<W: io::Write + io::Seek>(
        &self,
        writer: &mut W,
        endian: Endian,
        _: (),
    ) -> BinResult<()> {
        Varint(self.0.len() as u64).write_options(writer, endian, ())?;
        Ok(writer.write_all(&self.0)?)
    }
}

/// A list of at most [`MAX_LIST`] items.
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
    fn from_iter<I: IntoIterator<Item = T>>(items: I) -> Self {
        List(items.into_iter().collect())
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
    fn read_options<R: io::Read + io::Seek>(
        reader: &mut R,
        endian: Endian,
        _: (),
    ) -> BinResult<Self> {
        let length = read_length(reader, endian, "list", MAX_LIST)?;
        (0..length)
            .map(|_| T::read_options(reader, endian, ()))
            .collect::<BinResult<Vec<T>>>()
            .map(List)
    }
}

impl<T: for<'a> BinWrite<Args<'a> = ()>> BinWrite for List<T> {
    type Args<'a> = ();
    fn write_options<W: io::Write + io::Seek>(
        &self,
        writer: &mut W,
        endian: Endian,
        _: (),
    ) -> BinResult<()> {
        if self.0.len() > MAX_LIST {
            return Err(too_long(0, "list", self.0.len()));
        }
        Varint(self.0.len() as u64).write_options(writer, endian, ())?;
        self.0
            .iter()
            .try_for_each(|item| item.write_options(writer, endian, ()))
    }
}

/// An unsigned number that is usually small, as LEB128: seven bits per byte, least significant first. Each number has
/// exactly one encoding; longer encodings are rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Varint(pub u64);

impl Varint {
    /// Bits of the number per byte.
    const BITS: u32 = 7;
    /// Continuation bit, set in every byte but the last.
    const CONTINUATION: u8 = 1 << Self::BITS;
}

impl BinRead for Varint {
    type Args<'a> = ();
    fn read_options<R: io::Read + io::Seek>(
        reader: &mut R,
        endian: Endian,
        _: (),
    ) -> BinResult<Self> {
        let mut number = 0u64;
        for shift in (0..u64::BITS).step_by(Self::BITS as usize) {
            let byte = u8::read_options(reader, endian, ())?;
            let bits = u64::from(byte & !Self::CONTINUATION);
            let overflows = (bits << shift) >> shift != bits;
            let is_padding = byte == 0 && shift > 0;
            if overflows || is_padding {
                break;
            }
            number |= bits << shift;
            if byte & Self::CONTINUATION == 0 {
                return Ok(Varint(number));
            }
        }
        Err(binrw::Error::AssertFail {
            pos: reader.stream_position()?,
            message: "not an unsigned number of 64 bits".into(),
        })
    }
}

impl BinWrite for Varint {
    type Args<'a> = ();
    fn write_options<W: io::Write + io::Seek>(
        &self,
        writer: &mut W,
        endian: Endian,
        _: (),
    ) -> BinResult<()> {
        let mut number = self.0;
        while number >= u64::from(Self::CONTINUATION) {
            (number as u8 | Self::CONTINUATION).write_options(writer, endian, ())?;
            number >>= Self::BITS;
        }
        (number as u8).write_options(writer, endian, ())
    }
}

#[cfg(test)]
mod tests;
