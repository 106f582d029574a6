use async_net::TcpStream;
use futures_lite::io::{self, AsyncReadExt, Cursor};
use http_types::{Request, Response};

/// Maximum length of the head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Maximum length of the body of a response, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Empty line that ends a head, with the line end before it.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Reason why a request got no whole response. It may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// The connection broke or was closed before the end of the response.
    Incomplete,
    /// The response is malformed, or longer than a response may be.
    Invalid,
}

/// Sends a request on a new connection; returns the response and its body, at most 16 MiB.
///
/// The HTTP library gets only the head: it would keep a line or a body without end, and report a truncated
/// body as success. It panics on header values that are not ASCII.
///
/// # Errors
/// Returns an error if there is no whole response with a declared length. Its sender may never stop
/// sending.
pub async fn exchange(
    mut stream: TcpStream,
    req: Request,
) -> Result<(Response, String), ExchangeError> {
    let mut req = async_h1::client::Encoder::new(req);
    io::copy(&mut req, &mut stream).await.map_err(|_| ExchangeError::Incomplete)?;
    let (head, mut body) = read_head(&mut stream).await?;
    if !head.is_ascii() {
        return Err(ExchangeError::Invalid);
    }
    let res = async_h1::client::decode(Cursor::new(head)).await;
    let res = res.map_err(|_| ExchangeError::Invalid)?;
    let length = res.len().filter(|length| *length <= MAX_BODY_BYTES);
    let length = length.ok_or(ExchangeError::Invalid)?;
    let received = body.len().min(length);
    body.resize(length, 0);
    let rest = stream.read_exact(&mut body[received..]).await;
    rest.map_err(|_| ExchangeError::Incomplete)?;
    let body = String::from_utf8(body).map_err(|_| ExchangeError::Invalid)?;
    Ok((res, body))
}

/// Reads a head, and the bytes behind it that have arrived with it.
async fn read_head(stream: &mut TcpStream) -> Result<(Vec<u8>, Vec<u8>), ExchangeError> {
    let mut bytes = vec![0; MAX_HEAD_BYTES];
    let mut filled = 0;
    loop {
        let count = stream.read(&mut bytes[filled..]).await;
        let count = count.map_err(|_| ExchangeError::Incomplete)?;
        if count == 0 {
            // A full buffer reads nothing, too.
            return Err(match filled == bytes.len() {
                true => ExchangeError::Invalid,
                false => ExchangeError::Incomplete,
            });
        }
        let searched = filled.saturating_sub(HEAD_END.len() - 1);
        filled += count;
        let found = bytes[searched..filled].windows(HEAD_END.len()).position(|w| w == HEAD_END);
        if let Some(at) = found {
            let body = bytes[searched + at + HEAD_END.len()..filled].to_vec();
            bytes.truncate(searched + at + HEAD_END.len());
            return Ok((bytes, body));
        }
    }
}
