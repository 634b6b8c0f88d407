//! HTTP/1.1 over blocking sockets: a server with one thread for each connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

pub struct Request {
    pub method: String,
    /// Path without its query.
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn param(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }
}

pub enum Reply {
    Answer(u16, String),
    /// The connection is closed without an answer.
    Close,
    /// No answer and an open connection: the peer has to time out.
    Silence,
}

pub fn serve<F>(address: SocketAddr, handler: F) -> std::io::Result<SocketAddr>
where
    F: Fn(Request) -> Reply + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    let handler = Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = connection(stream, &*handler);
            });
        }
    });
    Ok(bound)
}

fn connection<F>(stream: TcpStream, handler: &F) -> std::io::Result<()>
where
    F: Fn(Request) -> Reply,
{
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        match handler(request) {
            Reply::Answer(status, body) => {
                let text = format!(
                    "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                writer.write_all(text.as_bytes())?;
            }
            Reply::Close => return Ok(()),
            Reply::Silence => {
                // Holds the connection until the peer closes it.
                let mut rest = [0u8; 256];
                while reader.read(&mut rest)? > 0 {}
                return Ok(());
            }
        }
    }
    Ok(())
}

fn read_head<R: BufRead>(reader: &mut R) -> std::io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_string(), headers)));
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

fn read_body<R: BufRead>(reader: &mut R, headers: &[(String, String)]) -> std::io::Result<String> {
    let length = headers.iter().find(|(key, _)| key == "content-length");
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn read_request<R: BufRead>(reader: &mut R) -> std::io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or("").to_string();
    let target = words.next().unwrap_or("");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(key, value)| (key.to_string(), decode(value))).collect();
    let body = read_body(reader, &headers)?;
    Ok(Some(Request { method, path: path.to_string(), query, headers, body }))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).and_then(|hex| std::str::from_utf8(hex).ok());
        match (bytes[at], hex.and_then(|hex| u8::from_str_radix(hex, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (b'+', _) => {
                out.push(b' ');
                at += 1;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Makes one call on a new connection; `None` if no complete answer came in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout_ms: u64,
) -> Option<(u16, String)> {
    let timeout = Duration::from_millis(timeout_ms);
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str(&format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ));
    (&stream).write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, read_body(&mut reader, &headers).ok()?))
}
