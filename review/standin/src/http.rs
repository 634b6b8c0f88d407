//! A small HTTP/1.1 server and client on blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Stack size of a connection thread in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// A received request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or(serde_json::Value::Null)
    }

    /// Returns the decoded value of a query parameter; empty if the parameter is missing.
    pub fn parameter(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.clone().find(|(key, _)| *key == name);
        found.map_or(String::new(), |(_, value)| percent_decode(value))
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut position = 0;
    while position < bytes.len() {
        let hex = text
            .get(position + 1..position + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[position], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                position += 2;
            }
            (b'+', _) => decoded.push(b' '),
            (byte, _) => decoded.push(byte),
        }
        position += 1;
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Status and body of a response; `None` closes the connection without a response.
pub type Reply = Option<(u16, String)>;

/// Serves requests on a free loopback port until the process exits; returns the address.
pub fn serve<H>(handler: H) -> SocketAddr
where
    H: Fn(Request) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("no address");
    let handler = Arc::new(handler);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            spawn(move || serve_connection(stream, handler.as_ref()));
        }
    });
    address
}

/// Starts a thread with a small stack.
pub fn spawn<F>(work: F)
where
    F: FnOnce() + Send + 'static,
{
    let builder = std::thread::Builder::new().stack_size(STACK_BYTES);
    builder.spawn(work).expect("cannot start a thread");
}

fn serve_connection<H>(stream: TcpStream, handler: &H)
where
    H: Fn(Request) -> Reply,
{
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(request) else {
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if writer
            .write_all(&[head.as_bytes(), body.as_bytes()].concat())
            .is_err()
        {
            return;
        }
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(count) if count > 0 => Some(line.trim_end().to_owned()),
        _ => None,
    }
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn read_body(reader: &mut impl Read, headers: &[(String, String)]) -> Option<Vec<u8>> {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    })
}

/// Sends a request on a new connection; returns the status and the body, or the error as text.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Result<(u16, String), String> {
    let exchange = || -> std::io::Result<Option<(u16, String)>> {
        let mut stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\nconnection: close\r\n",
            body.len()
        );
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        text.push_str(body);
        stream.write_all(text.as_bytes())?;
        let mut reader = BufReader::new(stream);
        let Some(line) = read_line(&mut reader) else {
            return Ok(None);
        };
        let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
        let Some(headers) = read_headers(&mut reader) else {
            return Ok(None);
        };
        let body = read_body(&mut reader, &headers);
        Ok(status.zip(body.map(|body| String::from_utf8_lossy(&body).into_owned())))
    };
    match exchange() {
        Ok(Some(answer)) => Ok(answer),
        Ok(None) => Err("no complete answer".into()),
        Err(error) => Err(error.to_string()),
    }
}
