//! Answers with neither a length nor chunks, which end with their connection.

/// One in this many connections to a target has such answers.
const ONE_CONNECTION_IN: u64 = 6;

/// Whether the answers of a connection end with it.
pub fn is_unframed(connection: u64) -> bool {
    connection % ONE_CONNECTION_IN == ONE_CONNECTION_IN - 1
}

/// Changes a request to HTTP/1.0, to which servers respond without chunks and close the connection.
pub fn downgrade_request(bytes: &mut [u8]) {
    let version = b" HTTP/1.1\r\n";
    if let Some(at) = bytes.windows(version.len()).position(|part| part == version) {
        bytes[at + version.len() - 3] = b'0';
    }
}

/// The head of a response to such a request, as HTTP/1.1 and without the length of the body.
pub fn upgrade_response(bytes: &[u8]) -> Vec<u8> {
    let Some(rest) = bytes.strip_prefix(b"HTTP/1.0 ") else { return bytes.to_vec() };
    let Some(head_bytes) = rest.windows(4).position(|part| part == b"\r\n\r\n") else {
        return bytes.to_vec();
    };
    let (head, body) = rest.split_at(head_bytes);
    let head = String::from_utf8_lossy(head);
    let is_length = |line: &&str| line.to_ascii_lowercase().starts_with("content-length:");
    let lines: Vec<&str> = head.split("\r\n").filter(|line| !is_length(line)).collect();
    let mut response = format!("HTTP/1.1 {}\r\nconnection: close", lines.join("\r\n")).into_bytes();
    response.extend_from_slice(body);
    response
}
