//! Downloads by callers that read slowly or not at all, and of answers that break off.

mod platform;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use platform::{
    FakeStore, RunningRouter, config, read_request, request_status, server_entry,
    start_router_with_memory,
};
use socket2::{Domain, Socket, Type};
use test_case::test_case;

/// Callers that do not read at the same time.
const READERS: usize = 60;

/// Memory of the router's machine, in megabytes.
const MEMORY_MB: u64 = 32;

/// Length of the largest download that is known, in bytes.
const ANSWER_BYTES: usize = 540_000;

/// Length of an answer that is larger than any that is buffered whole, in bytes.
const LARGE_BYTES: usize = 20 << 20;

const SIGNED: &str = "Request-Id: q\r\nResponse-Signature: s\r\n";

/// How a server sends a body of a given length.
#[derive(Debug, Clone, Copy)]
enum Sending {
    /// Whole, with its length.
    Whole,
    /// Only the first half of the declared length.
    Half,
    /// In chunks.
    Chunks,
    /// In chunks, without the last one.
    ChunksCut,
    /// Without a length, up to the end of the connection.
    UntilClose,
}

/// Server whose downloads are sent one way, and whose other answers are short.
struct Server {
    headers: &'static str,
    bytes: usize,
    sending: Sending,
    /// Number of downloads that are sent only by half before the others.
    cut_first: AtomicUsize,
}

impl Server {
    fn new(bytes: usize, sending: Sending) -> Server {
        Server { headers: SIGNED, bytes, sending, cut_first: AtomicUsize::new(0) }
    }

    fn start(self: Arc<Server>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&self);
                // The router may close the connection before the end.
                thread::spawn(move || server.serve(&stream).unwrap_or_default());
            }
        });
        address
    }

    fn serve(&self, mut stream: &TcpStream) -> std::io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_request(&mut reader) {
            if !request.request_line.contains("/get/") {
                write!(stream, "HTTP/1.1 200 X\r\n{SIGNED}Content-Length: 2\r\n\r\nok")?;
                continue;
            }
            let take = |count: usize| count.checked_sub(1);
            let is_cut = self.cut_first.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
            let sending = if is_cut.is_ok() { Sending::Half } else { self.sending };
            let body = body(self.bytes);
            write!(stream, "HTTP/1.1 200 X\r\n{}", self.headers)?;
            match sending {
                Sending::Whole | Sending::Half => {
                    write!(stream, "Content-Length: {}\r\n\r\n", body.len())?;
                }
                Sending::Chunks | Sending::ChunksCut => {
                    write!(stream, "Transfer-Encoding: chunked\r\n\r\n")?;
                }
                Sending::UntilClose => write!(stream, "\r\n")?,
            }
            match sending {
                Sending::Whole | Sending::UntilClose => stream.write_all(&body)?,
                Sending::Half => stream.write_all(&body[..body.len() / 2])?,
                Sending::Chunks | Sending::ChunksCut => {
                    for chunk in body.chunks(50_000) {
                        write!(stream, "{:x}\r\n", chunk.len())?;
                        stream.write_all(chunk)?;
                        stream.write_all(b"\r\n")?;
                    }
                }
            }
            match sending {
                Sending::Whole => {}
                Sending::Chunks => stream.write_all(b"0\r\n\r\n")?,
                Sending::Half | Sending::ChunksCut | Sending::UntilClose => return Ok(()),
            }
        }
        Ok(())
    }
}

/// Returns a body in which every position has its own value nearby.
fn body(bytes: usize) -> Vec<u8> {
    (0..bytes).map(|i| (i % 251) as u8).collect()
}

fn start(servers: Vec<Server>) -> (FakeStore, RunningRouter) {
    let (store, address) = FakeStore::start();
    let routes =
        [("/get/", "download", "pool"), ("/safe/", "safe", "pool"), ("/book/", "unsafe", "pool")];
    store.write("config/main", Some(config("5s", &routes)));
    for (i, server) in servers.into_iter().enumerate() {
        let entry = server_entry("pool", Arc::new(server).start(), 4 * READERS);
        store.write(&format!("servers/i-{i}"), Some(entry));
    }
    let router = start_router_with_memory("h1", address, &["hold-max=10s"], MEMORY_MB);
    while request_status(router.ready, "GET", "/api/ready") != 200 {}
    (store, router)
}

/// Sends a request for a download and reads none of the answer. The small receive buffer leaves most
/// of it to the router.
fn request_download(router: &RunningRouter) -> BufReader<TcpStream> {
    request_path(router, "/get/x")
}

fn request_path(router: &RunningRouter, path: &str) -> BufReader<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    socket.connect(&router.listen.into()).unwrap();
    let mut stream = TcpStream::from(socket);
    write!(stream, "GET {path} HTTP/1.1\r\nHost: shop\r\nRequest-Id: q\r\n\r\n").unwrap();
    BufReader::new(stream)
}

/// Answer as far as it was received.
struct Download {
    status: u16,
    head: String,
    /// Decoded body.
    body: Vec<u8>,
    is_complete: bool,
}

/// Reads an answer up to its end or that of the connection.
fn read_download(reader: &mut BufReader<TcpStream>) -> Download {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") && reader.read_line(&mut head).unwrap_or(0) > 0 {}
    let status = head.split(' ').nth(1).map_or(0, |word| word.parse().unwrap());
    let declared = head.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    let mut body = Vec::new();
    // A reset after the last byte ends the body as a close does.
    let mut read_up_to = |count: usize, body: &mut Vec<u8>| {
        let before = body.len();
        let _: std::io::Result<usize> = reader.by_ref().take(count as u64).read_to_end(body);
        body.len() - before == count
    };
    if let Some(declared) = declared {
        let is_complete = read_up_to(declared.parse().unwrap(), &mut body);
        return Download { status, head, body, is_complete };
    }
    loop {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") && read_up_to(1, &mut line) {}
        let size = std::str::from_utf8(&line).ok();
        let size = size.and_then(|text| usize::from_str_radix(text.trim(), 16).ok());
        let Some(size) = size else {
            return Download { status, head, body, is_complete: false };
        };
        let mut end = Vec::new();
        if !read_up_to(size, &mut body) || !read_up_to(2, &mut end) {
            return Download { status, head, body, is_complete: false };
        }
        if size == 0 {
            return Download { status, head, body, is_complete: true };
        }
    }
}

fn assert_whole(download: &Download, bytes: usize) {
    assert_eq!((download.status, download.is_complete), (200, true), "{}", download.head);
    assert!(download.body == body(bytes), "{} bytes", download.body.len());
}

fn wait_for_metric(router: &RunningRouter, name: &str, value: u64) {
    while router.metric(name).unwrap_or(0) < value {}
}

/// Guards against memory that grows with the number of callers that do not read, against answers that
/// are given up for it, and against callers of small requests that pay for them.
#[test]
fn memory_for_many_slow_readers_is_bounded() {
    // A router has at most twelve connections to a server, and a streamed answer keeps one.
    let servers = (0..10).map(|_| Server::new(ANSWER_BYTES, Sending::Whole));
    let (_store, router) = start(servers.collect());
    let readers: Vec<_> = (0..READERS).map(|_| request_download(&router)).collect();
    // The budget holds seven whole answers; the others are streamed.
    wait_for_metric(&router, "download_streamed", 1);
    for _ in 0..20 {
        assert_eq!(request_status(router.listen, "POST", "/book/x"), 200);
    }
    let readers =
        readers.into_iter().map(|reader| thread::spawn(move || read_download(&mut { reader })));
    for reader in readers.collect::<Vec<_>>() {
        assert_whole(&reader.join().unwrap(), ANSWER_BYTES);
    }

    let metric = |name: &str| router.metric(name).unwrap();
    let limit = metric("downloads_limit_bytes");
    assert_eq!(limit, (MEMORY_MB << 20) / 8);
    // Beyond the budget each streamed answer holds a window, and the portion that ends it.
    assert!(metric("downloads_peak_bytes") <= limit + READERS as u64 * 2 * 16_384);
    assert!(metric("buffers_peak_bytes") < (MEMORY_MB << 20) / 4);
    assert_eq!(metric("downloads_held_bytes"), 0);
}

/// Guards against answers that are given up for their size, and against wrong framing of those that
/// are streamed.
#[test_case(Sending::Whole, LARGE_BYTES)]
#[test_case(Sending::Chunks, LARGE_BYTES)]
#[test_case(Sending::Chunks, ANSWER_BYTES)]
#[test_case(Sending::UntilClose, ANSWER_BYTES)]
#[test_case(Sending::Whole, 0)]
fn downloads_arrive_whole(sending: Sending, bytes: usize) {
    let (_store, router) = start(vec![Server::new(bytes, sending)]);
    for _ in 0..2 {
        let download = read_download(&mut request_download(&router));
        assert_whole(&download, bytes);
        assert_eq!(
            download.head.contains("chunked"),
            bytes == LARGE_BYTES && matches!(sending, Sending::Chunks)
        );
    }
    let streamed = router.metric("download_streamed").unwrap_or(0);
    assert_eq!(streamed, if bytes == LARGE_BYTES { 2 } else { 0 });
}

/// Guards against pipelined answers that are mixed up, and against servers that wait for the turn of
/// theirs.
#[test]
fn pipelined_downloads_arrive_in_order() {
    let bytes = 3 << 19;
    let (_store, router) = start(vec![Server::new(bytes, Sending::Whole)]);
    let request = "GET /get/x HTTP/1.1\r\nHost: shop\r\nRequest-Id: q\r\n\r\n";
    let mut reader = request_path(&router, "/book/x");
    reader.get_mut().write_all(request.repeat(3).as_bytes()).unwrap();
    assert_eq!(read_download(&mut reader).body, b"ok");
    for _ in 0..3 {
        assert_whole(&read_download(&mut reader), bytes);
    }
    assert!(router.metric("download_streamed") <= Some(1));
}

/// Guards against a change for routes that are not for downloads.
#[test_case(ANSWER_BYTES => 200)]
#[test_case(LARGE_BYTES => 502)]
fn other_routes_keep_whole_answers(bytes: usize) -> u16 {
    let (_store, router) = start(vec![Server::new(bytes, Sending::Whole)]);
    let download = read_download(&mut request_path(&router, "/safe/get/x"));
    assert!(download.is_complete);
    assert_eq!(router.metric("download_streamed"), None);
    assert_eq!(router.metric("downloads_peak_bytes"), Some(0));
    download.status
}

/// Guards against a truncated answer that looks complete.
#[test_case(Sending::Half)]
#[test_case(Sending::ChunksCut)]
fn an_answer_that_breaks_off_midway_never_looks_complete(sending: Sending) {
    let (_store, router) = start(vec![Server::new(LARGE_BYTES, sending)]);
    let download = read_download(&mut request_download(&router));
    assert_eq!((download.status, download.is_complete), (200, false), "{}", download.head);
    assert!(body(LARGE_BYTES).starts_with(&download.body));
    wait_for_metric(&router, "download_answer_cut", 1);
    assert_eq!(request_status(router.listen, "POST", "/book/x"), 200);
}

/// Guards against the loss of retries for answers of the usual size.
#[test]
fn a_download_that_breaks_off_before_its_first_byte_is_retried() {
    let servers = [1, 1].map(|_| Server::new(ANSWER_BYTES, Sending::Whole));
    servers[0].cut_first.store(1, Ordering::Relaxed);
    servers[1].cut_first.store(1, Ordering::Relaxed);
    let (_store, router) = start(servers.into());
    let statuses: Vec<_> = (0..3)
        .map(|_| {
            let download = read_download(&mut request_download(&router));
            assert!(download.is_complete);
            download.status
        })
        .collect();
    // Both servers break off once, at worst for the same request, which is then refused.
    assert_eq!(statuses[2], 200, "{statuses:?}");
    assert!(statuses.iter().filter(|status| **status != 200).count() <= 1, "{statuses:?}");
}

/// Guards against a head that is passed on although the success is not proven to be the server's
/// answer to this request.
#[test_case("Request-Id: q\r\n"; "unsigned")]
#[test_case("Response-Signature: s\r\n"; "does not name the request")]
#[test_case("Request-Id: q\r\nResponse-Signature: s\r\nContent-Encoding: gzip\r\n"; "encoded")]
fn an_unconfirmed_large_success_is_not_passed_on(headers: &'static str) {
    let server = Server { headers, ..Server::new(LARGE_BYTES, Sending::Whole) };
    let (_store, router) = start(vec![server]);
    let download = read_download(&mut request_download(&router));
    assert_eq!(download.status, 502, "{}", download.head);
}

/// Guards against a reader that keeps its memory and its server's connection for ever, and against
/// others that are disconnected with it.
#[test]
fn only_a_reader_that_stalls_is_disconnected() {
    let (_store, router) = start(vec![Server::new(LARGE_BYTES, Sending::Whole)]);
    let stalled = request_download(&router);
    wait_for_metric(&router, "download_streamed", 1);
    while router.metric("download_reader_stalled").is_none() {
        assert_whole(&read_download(&mut request_download(&router)), LARGE_BYTES);
        assert_eq!(request_status(router.listen, "POST", "/book/x"), 200);
    }
    assert!(!read_download(&mut { stalled }).is_complete);
    assert_eq!(router.metric("download_reader_stalled"), Some(1));
    assert_eq!(router.metric("downloads_held_bytes"), Some(0));
}

/// Guards against downloads that a planned stop cuts off although there is time.
#[test]
fn a_planned_stop_lets_a_streamed_answer_finish() {
    let (_store, router) = start(vec![Server::new(LARGE_BYTES, Sending::Whole)]);
    let reader = request_download(&router);
    wait_for_metric(&router, "download_streamed", 1);
    router.stop.send_blocking(()).unwrap();
    while request_status(router.ready, "GET", "/api/ready") == 200 {}
    assert_whole(&read_download(&mut { reader }), LARGE_BYTES);
    assert!(router.stopped.recv().is_err());
}
