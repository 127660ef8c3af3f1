use super::*;

/// Resource usage of a process as reported by the kernel.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(crate) struct Usage {
    /// Processor time since its start.
    pub(crate) processor: Duration,
    /// Resident memory, in bytes.
    pub(crate) memory: u64,
}

/// Clock ticks per second of the counters in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Fields of `/proc/PID/stat`, counted after the program name, with user and system time in ticks.
const PROCESSOR_FIELDS: std::ops::RangeInclusive<usize> = 11..=12;

impl Usage {
    /// Reads the usage of the process `id`.
    pub(crate) fn of(id: u32) -> eyre::Result<Self> {
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
        let fields: Vec<_> = fields.split_whitespace().collect();
        let ticks = fields.get(PROCESSOR_FIELDS).unwrap_or_default();
        let ticks: f64 = ticks.iter().filter_map(|field| field.parse::<f64>().ok()).sum();
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let memory = memory.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok());
        let kilobytes: u64 =
            memory.ok_or_else(|| eyre::eyre!("`/proc/{id}/status` has no `VmRSS`"))?;
        let processor = Duration::from_secs_f64(ticks / TICKS_PER_SECOND);
        Ok(Self { processor, memory: kilobytes * 1024 })
    }
}
