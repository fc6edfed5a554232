//! Checks the head of a response beyond what hyper does, which reads a body of unknown encoding until the end of its
//! connection.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, StatusCode};
use snafu::{Snafu, ensure};

/// Largest status that HTTP defines a class for.
const MAX_STATUS: u16 = 599;

/// Why the head of a response can't be trusted. Its connection must be closed, and the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum HeadError {
    #[snafu(display("status {status} does not end a request"))]
    Status { status: StatusCode },
    #[snafu(display("its length is not one whole number"))]
    Length,
    #[snafu(display("its body has another transfer encoding than chunks"))]
    Encoding,
    #[snafu(display("its body has a length and chunks"))]
    LengthAndEncoding,
}

/// Checks that a response ends its request, and that its head tells in one way where its body ends.
///
/// # Errors
/// What is wrong with it.
pub fn check(status: StatusCode, headers: &HeaderMap) -> Result<(), HeadError> {
    let ends_request = !status.is_informational() && status.as_u16() <= MAX_STATUS;
    ensure!(ends_request, StatusSnafu { status });
    let has_length = headers.contains_key(CONTENT_LENGTH);
    let has_encoding = headers.contains_key(TRANSFER_ENCODING);
    ensure!(!(has_length && has_encoding), LengthAndEncodingSnafu);
    ensure!(!has_length || is_one_length(headers), LengthSnafu);
    ensure!(!has_encoding || is_chunked_once(headers), EncodingSnafu);
    Ok(())
}

/// Whether there is one length, which hyper has parsed.
fn is_one_length(headers: &HeaderMap) -> bool {
    let mut lengths = headers.get_all(CONTENT_LENGTH).iter();
    let is_number = |length: &[u8]| length.iter().all(u8::is_ascii_digit);
    lengths.next().is_some_and(|length| is_number(length.as_bytes())) && lengths.next().is_none()
}

fn is_chunked_once(headers: &HeaderMap) -> bool {
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    encodings.next().is_some_and(|first| first.as_bytes().eq_ignore_ascii_case(b"chunked"))
        && encodings.next().is_none()
}
