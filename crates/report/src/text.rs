//! The report as text, in tables of up to 100 columns.

use super::*;

/// Maximum number of rows in a table.
const MAX_ROWS: usize = 20;
/// Maximum number of late jobs listed.
const MAX_JOBS: usize = 10;
/// Numbers from here on are written as powers of ten.
const MAX_PLAIN: f64 = 1e6;
/// Width of a name; longer ones are cut.
const NAME_WIDTH: usize = 24;

/// The report as text; each line ends with a line break.
pub fn text(report: &Report) -> String {
    let mut text = String::new();
    write_all(&mut text, report).expect("writing to a string does not fail");
    text
}

fn write_all(text: &mut String, report: &Report) -> std::fmt::Result {
    write_summary(text, report)?;
    write_causes(text, &report.total)?;
    let by_lateness = |rows: &BTreeMap<String, Totals>| {
        let rows = rows.iter().map(|(name, totals)| (name.clone(), totals.clone()));
        let mut rows: Vec<_> = rows.collect();
        rows.sort_by(|(a, x), (b, y)| (y.lateness.sum(), a).cmp(&(x.lateness.sum(), b)));
        rows
    };
    write_totals(text, "organisation", &by_lateness(&report.organisations))?;
    write_totals(text, "queue", &by_lateness(&report.queues))?;
    let sizes = report.sizes.iter().map(|(class, totals)| (class.to_string(), totals.clone()));
    write_totals(text, "declared work", &sizes.collect::<Vec<_>>())?;
    write_seconds(text, report)?;
    write_pools(text, report)?;
    write_jobs(text, report)
}

fn write_summary(text: &mut String, report: &Report) -> std::fmt::Result {
    let Report { log, attribution, total, .. } = report;
    writeln!(
        text,
        "{} jobs ended; {} missed their objective, {} failed or took over three times as long.",
        total.jobs, total.late, total.useless
    )?;
    let share = attribution.share() * 100.0;
    writeln!(
        text,
        "{} of {} late jobs ({share:.0}%) have a named cause, {} of them in part by an estimate.",
        attribution.named, attribution.late, attribution.estimated
    )?;
    writeln!(text, "{} late jobs have no summary in the log.", attribution.without_summary)?;
    writeln!(
        text,
        "{} lines: {} of other kinds, {} no log lines, {} incomplete, {} unknown fields.",
        log.lines, log.other_kinds, log.not_parsed, log.malformed, log.unknown_fields
    )?;
    writeln!(
        text,
        "Left out by daemons: {} lines, of which {} summaries.",
        log.dropped, log.missing_summaries
    )?;
    let leaderless = seconds(log.without_leader_ms);
    writeln!(text, "{} terms of leaders, {leaderless} s without one in between.", log.terms)
}

fn write_causes(text: &mut String, total: &Totals) -> std::fmt::Result {
    if total.late == 0 {
        return Ok(());
    }
    writeln!(text, "\n{:<32} {:>8} {:>6} {:>12}", "cause", "jobs", "", "lateness, s")?;
    for cause in Cause::ALL {
        let (jobs, lateness) = (total.causes.get(cause), total.lateness.get(cause));
        if jobs == 0 && lateness == 0 {
            continue;
        }
        writeln!(
            text,
            "{:<32} {jobs:>8} {:>5.0}% {:>12} {:>5.0}%",
            cause.to_string(),
            percent(jobs, total.late),
            seconds(lateness),
            percent(lateness, total.lateness.sum())
        )?;
    }
    Ok(())
}

/// Heading of the columns that [`write_row`] fills after the name.
fn write_heading(text: &mut String, name: &str) -> std::fmt::Result {
    writeln!(
        text,
        "\n{name:<NAME_WIDTH$} {:>7} {:>7} {:>5} {:>7} {:>11}  largest cause",
        "jobs", "late", "", "over 3x", "lateness, s"
    )
}

fn write_row(text: &mut String, name: &str, totals: &Totals) -> std::fmt::Result {
    let Totals { jobs, late, useless, lateness, .. } = totals;
    let cause = lateness.largest().or(totals.causes.largest());
    let cause = cause.map(|cause| cause.to_string()).unwrap_or_default();
    let row = format!(
        "{:<NAME_WIDTH$} {jobs:>7} {late:>7} {:>4.0}% {useless:>7} {:>11}  {cause}",
        cut(name),
        percent(*late, *jobs),
        seconds(lateness.sum())
    );
    writeln!(text, "{}", row.trim_end())
}

fn write_totals(text: &mut String, name: &str, rows: &[(String, Totals)]) -> std::fmt::Result {
    if rows.is_empty() {
        return Ok(());
    }
    write_heading(text, name)?;
    for (name, totals) in rows.iter().take(MAX_ROWS) {
        write_row(text, name, totals)?;
    }
    write_rest(text, rows.len(), MAX_ROWS)
}

/// Notes that rows were left out.
fn write_rest(text: &mut String, rows: usize, shown: usize) -> std::fmt::Result {
    match rows.saturating_sub(shown) {
        0 => Ok(()),
        rest => writeln!(text, "and {rest} more"),
    }
}

/// The seconds of submission with the most lateness, in the order of time.
fn write_seconds(text: &mut String, report: &Report) -> std::fmt::Result {
    let mut rows: Vec<_> = report.seconds.iter().filter(|(_, totals)| totals.late > 0).collect();
    if rows.is_empty() {
        return Ok(());
    }
    let count = rows.len();
    rows.sort_by_key(|(second, totals)| (std::cmp::Reverse(totals.lateness.sum()), **second));
    rows.truncate(MAX_ROWS);
    rows.sort_by_key(|(second, _)| **second);
    write_heading(text, "submitted, s")?;
    let first = second_of(report.first_at);
    for (second, totals) in rows {
        let offset = i128::from(*second) - i128::from(first);
        write_row(text, &offset.to_string(), totals)?;
    }
    write_rest(text, count, MAX_ROWS)
}

fn write_pools(text: &mut String, report: &Report) -> std::fmt::Result {
    if report.pools.is_empty() {
        return Ok(());
    }
    write!(text, "\n{:<NAME_WIDTH$} {:>12}", "instance seconds", "all")?;
    for part in PoolUse::PARTS {
        write!(text, " {part:>11}")?;
    }
    writeln!(text)?;
    let mut all = PoolUse::default();
    for (pool, used) in &report.pools {
        all.add(used);
        write_pool(text, pool, used)?;
    }
    write_pool(text, "all pools", &all)
}

fn write_pool(text: &mut String, pool: &str, used: &PoolUse) -> std::fmt::Result {
    let all = used.sum();
    let sum = if all < MAX_PLAIN { format!("{all:.0}") } else { format!("{all:.1e}") };
    write!(text, "{:<NAME_WIDTH$} {sum:>12}", cut(pool))?;
    for part in used.parts() {
        let share = if all > 0.0 { part / all * 100.0 } else { 0.0 };
        write!(text, " {share:>10.1}%")?;
    }
    writeln!(text)
}

fn write_jobs(text: &mut String, report: &Report) -> std::fmt::Result {
    if report.late_jobs.is_empty() {
        return Ok(());
    }
    writeln!(
        text,
        "\n{:<16} {:<10} {:<12} {:>8} {:>8}  largest cause, s",
        "job", "queue", "organisation", "took, s", "late, s"
    )?;
    for job in report.late_jobs.iter().take(MAX_JOBS) {
        let organisation = job.organisation.as_deref().unwrap_or("-");
        let lateness = job.lateness_by_cause.get(job.cause);
        writeln!(
            text,
            "{:<16.16} {:<10.10} {organisation:<12.12} {:>8} {:>8}  {} {}",
            job.id,
            job.queue,
            seconds(job.took),
            seconds(job.lateness),
            job.cause,
            seconds(lateness)
        )?;
    }
    write_rest(text, report.late_jobs.len(), MAX_JOBS)
}

/// A name, cut to its column.
fn cut(name: &str) -> String {
    name.chars().take(NAME_WIDTH).collect()
}

/// Seconds, as a power of ten if they would not fit their column.
fn seconds(ms: u64) -> String {
    let seconds = ms as f64 / 1000.0;
    if seconds < MAX_PLAIN { format!("{seconds:.1}") } else { format!("{seconds:.1e}") }
}

fn percent(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { part as f64 * 100.0 / whole as f64 }
}
