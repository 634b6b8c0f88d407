use std::sync::atomic::{AtomicBool, Ordering};

/// Maximum number of lines of a head for which the HTTP library keeps a small table of headers. Filling a table for the
/// largest legal head takes several times the processor time of an ordinary request.
const MAX_COMMON_LINES: usize = 90;

/// Finds out whether a head has more headers than the HTTP library expects, before the library sees them.
///
/// Shared by the stream of a connection, which sees the bytes, and the requests, whose beginnings and ends it needs.
#[derive(Debug)]
pub(crate) struct HeadWatch {
    /// Whether the next byte that arrives belongs to a head.
    expects_head: AtomicBool,
    /// Whether the body of the current request was read.
    is_body_read: AtomicBool,
    /// Whether the current head has many headers.
    has_many_headers: AtomicBool,
}

/// Counts the lines of one head.
#[derive(Debug, Default)]
pub(crate) struct LineCounter {
    lines: usize,
    /// Whether the current line has any content.
    has_content: bool,
    has_ended: bool,
}

impl HeadWatch {
    pub(crate) fn new() -> Self {
        Self {
            expects_head: AtomicBool::new(true),
            is_body_read: AtomicBool::new(false),
            has_many_headers: AtomicBool::new(false),
        }
    }

    /// Records that a head was read; `has_body` if its request has a body.
    pub(crate) fn begin_request(&self, has_body: bool) {
        self.expects_head.store(false, Ordering::Relaxed);
        self.is_body_read.store(!has_body, Ordering::Relaxed);
    }

    pub(crate) fn end_body(&self) {
        self.is_body_read.store(true, Ordering::Relaxed);
    }

    /// Records that a response was written. After a body that was not read, what arrives may be the rest of it.
    pub(crate) fn end_request(&self) {
        let is_body_read = self.is_body_read.load(Ordering::Relaxed);
        self.expects_head.store(is_body_read, Ordering::Relaxed);
    }

    pub(crate) fn expects_head(&self) -> bool {
        self.expects_head.load(Ordering::Relaxed)
    }

    pub(crate) fn set_many_headers(&self) {
        self.has_many_headers.store(true, Ordering::Relaxed);
    }

    pub(crate) fn has_many_headers(&self) -> bool {
        self.has_many_headers.load(Ordering::Relaxed)
    }
}

impl LineCounter {
    /// Counts the lines in bytes that follow those before; returns whether the head has many.
    pub(crate) fn count(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            match byte {
                _ if self.has_ended => break,
                b'\n' if self.has_content => {
                    self.lines += 1;
                    self.has_content = false;
                }
                // Empty lines before a request are not part of its head.
                b'\n' => self.has_ended = self.lines > 0,
                b'\r' => {}
                _ => self.has_content = true,
            }
        }
        self.lines > MAX_COMMON_LINES
    }
}
