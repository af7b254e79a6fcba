//! Memory of a process.

/// Memory from which the users' platform kills a process, in bytes.
pub const MEMORY_LIMIT: usize = 260 << 20;

/// Returns the most memory that a running process has had resident so far, in bytes.
pub fn peak_memory(process: u32) -> usize {
    let path = format!("/proc/{process}/status");
    let status = std::fs::read_to_string(path).expect("the process runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = peak.expect("a peak").trim().trim_end_matches(" kB");
    kilobytes.parse::<usize>().expect("a number") << 10
}
