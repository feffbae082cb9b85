//! A plain HTTP/1.1 client and the reading of requests, on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// The body came to its end as the head announced it.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    pub fn word(&self, n: usize) -> &str {
        self.first.split(' ').nth(n).unwrap_or("")
    }
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn line(from: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut text = String::new();
    if from.read_line(&mut text)? == 0 {
        return Ok(None);
    }
    Ok(Some(text.trim_end().to_string()))
}

/// Reads a message. `None`: the connection ended before its first byte.
pub fn read(from: &mut impl BufRead, is_answer: bool) -> io::Result<Option<Message>> {
    let Some(first) = line(from)? else {
        return Ok(None);
    };
    let mut message = Message {
        first,
        ..Message::default()
    };
    loop {
        let Some(text) = line(from)? else {
            return Ok(Some(message));
        };
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.trim().into(), value.trim().into()));
        }
    }
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|v| v.contains("chunked"));
    let length = message
        .header("content-length")
        .and_then(|v| v.parse::<usize>().ok());
    if chunked {
        message.whole = read_chunks(from, &mut message.body).unwrap_or(false);
    } else if let Some(length) = length {
        let mut limited = from.take(length as u64);
        let read = limited.read_to_end(&mut message.body);
        message.whole = read.is_ok() && message.body.len() == length;
    } else if is_answer && ![204, 304].contains(&message.status()) {
        // Its end is the end of the connection; one that is reset is not whole.
        message.whole = from.read_to_end(&mut message.body).is_ok();
    } else {
        message.whole = true;
    }
    Ok(Some(message))
}

fn read_chunks(from: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<bool> {
    loop {
        let Some(size) = line(from)? else {
            return Ok(false);
        };
        let Ok(size) = usize::from_str_radix(size.split(';').next().unwrap_or(""), 16) else {
            return Ok(false);
        };
        let before = body.len();
        from.take(size as u64).read_to_end(body)?;
        if body.len() - before < size || line(from)?.is_none() {
            return Ok(false);
        }
        if size == 0 {
            return Ok(true);
        }
    }
}

/// A client's connection, kept for several requests.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn open(to: &str, patience: Duration) -> io::Result<Client> {
        let addr: SocketAddr = to.parse().map_err(io::Error::other)?;
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(patience))?;
        stream.set_nodelay(true)?;
        Ok(Client {
            reader: BufReader::new(stream),
        })
    }
    pub fn ask(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Message> {
        let mut head = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += &format!("Content-Length: {}\r\n\r\n", body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.reader.get_mut().write_all(&bytes)?;
        let answer = read(&mut self.reader, true)?;
        answer.ok_or_else(|| io::Error::other("closed without an answer"))
    }
}

/// One request on a connection of its own.
pub fn ask(
    to: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> io::Result<Message> {
    Client::open(to, patience)?.ask(method, path, headers, body)
}
