use super::held_body::HeldBody;
use super::stream_source::StreamSource;

/// Body of a reply to a caller.
#[derive(Debug)]
pub(crate) enum ReplyBody {
    /// A body that is sent at once.
    Whole(Vec<u8>),
    /// The body of a download, which counts against the budget until it is sent.
    Download(DownloadBody),
}

/// Body of a download.
#[derive(Debug)]
pub(crate) struct DownloadBody {
    /// The whole body, or the start of one that is streamed.
    pub(crate) held: HeldBody,
    /// The server's connection with the rest of a body that is streamed.
    pub(crate) source: Option<Box<StreamSource>>,
}

impl ReplyBody {
    /// Returns whether a part of the body is still to come from the server.
    pub(crate) fn is_streamed(&self) -> bool {
        matches!(self, ReplyBody::Download(DownloadBody { source: Some(_), .. }))
    }
}
