use std::{fs, io};

/// Returns the most memory that this process has had resident, in bytes.
///
/// # Errors
/// Returns an error if the system doesn't tell it.
pub fn peak_resident_bytes() -> io::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.map(|count| count * 1_024).ok_or_else(|| io::ErrorKind::InvalidData.into())
}
