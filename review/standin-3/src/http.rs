//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and single calls.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: String,
}

impl Request {
    pub fn query(&self, name: &str) -> String {
        self.query.get(name).cloned().unwrap_or_default()
    }
}

/// Status and body; `None` closes the connection without an answer.
pub type Reply = Option<(u16, String)>;

pub struct Server {
    pub address: SocketAddr,
}

impl Server {
    pub fn start<H>(ip: &str, handler: H) -> Self
    where
        H: Fn(&Request) -> Reply + Send + Sync + 'static,
    {
        let listener = TcpListener::bind((ip, 0)).expect("cannot listen");
        let address = listener.local_addr().expect("no address");
        let handler = Arc::new(handler);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let handler = handler.clone();
                std::thread::spawn(move || {
                    let _ = serve(&stream, &*handler);
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        Self { address }
    }
}

fn serve<H>(stream: &TcpStream, handler: &H) -> std::io::Result<()>
where
    H: Fn(&Request) -> Reply,
{
    let mut reader = BufReader::new(stream);
    loop {
        let Some((head, headers)) = read_head(&mut reader)? else {
            return Ok(());
        };
        let length: usize = headers
            .get("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let mut words = head.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let request = Request {
            method,
            path: path.to_owned(),
            query: pairs
                .map(|(name, value)| (name.to_owned(), unescape(value)))
                .collect(),
            headers,
            body: String::from_utf8_lossy(&body).into_owned(),
        };
        let Some((status, text)) = handler(&request) else {
            return Ok(());
        };
        let answer = format!(
            "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{text}",
            text.len()
        );
        (&mut &*stream).write_all(answer.as_bytes())?;
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        rest = after;
        match first {
            b'+' => bytes.push(b' '),
            b'%' if rest.len() >= 2 => {
                let digits = std::str::from_utf8(&rest[..2]).unwrap_or("00");
                bytes.push(u8::from_str_radix(digits, 16).unwrap_or(0));
                rest = &rest[2..];
            }
            other => bytes.push(*other),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

type Head = (String, HashMap<String, String>);

fn read_head<R>(reader: &mut R) -> std::io::Result<Option<Head>>
where
    R: BufRead,
{
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// Makes one call on a connection of its own; `None` if there is no whole answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    wait: Duration,
) -> Option<(u16, String)> {
    let deadline = Instant::now() + wait;
    let mut stream = TcpStream::connect_timeout(&address, wait).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes()).ok()?;
    let left = deadline
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let mut reader = BufReader::new(&stream);
    let (head, headers) = read_head(&mut reader).ok()??;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
