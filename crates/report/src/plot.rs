//! The report over time, as an SVG image: late jobs by the second of their submission and by cause,
//! and instances in pools by what held them.

use super::*;

/// Width and height of the image.
const SIZE: (u32, u32) = (1200, 900);
/// Longest time that is drawn, in seconds.
const MAX_SECONDS: u64 = 24 * 3600;

/// A colour for each cause, in the order of [`Cause::ALL`].
const CAUSE_COLORS: [RGBColor; 11] = [
    RGBColor(0, 0, 0),
    RGBColor(127, 60, 141),
    RGBColor(57, 105, 172),
    RGBColor(204, 51, 51),
    RGBColor(242, 150, 60),
    RGBColor(230, 204, 80),
    RGBColor(17, 165, 121),
    RGBColor(128, 186, 90),
    RGBColor(165, 90, 50),
    RGBColor(0, 134, 149),
    RGBColor(170, 170, 170),
];

/// A colour for each part of [`PoolUse`].
const USE_COLORS: [RGBColor; 5] = [
    RGBColor(17, 165, 121),
    RGBColor(204, 51, 51),
    RGBColor(57, 105, 172),
    RGBColor(220, 220, 220),
    RGBColor(242, 150, 60),
];

/// Draws the report from its first line on; jobs that were submitted before are left out.
pub fn svg(report: &Report) -> Result<String> {
    let mut image = String::new();
    draw(report, &mut image).map_err(|error| Error::Draw(error.to_string()))?;
    Ok(image)
}

/// Values of a second, stacked from the first to the last.
type Stack = (u64, Vec<f64>);

fn draw(report: &Report, image: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let first = second_of(report.first_at);
    let offset = |second: &u64| second.checked_sub(first).filter(|offset| *offset < MAX_SECONDS);
    let jobs: Vec<Stack> = report
        .seconds
        .iter()
        .filter_map(|(second, totals)| {
            let counts = Cause::ALL.map(|cause| totals.causes.get(cause) as f64);
            Some((offset(second)?, counts.to_vec()))
        })
        .collect();
    let instances: Vec<Stack> = report
        .pool_seconds
        .iter()
        .filter_map(|(second, used)| Some((offset(second)?, used.parts().to_vec())))
        .collect();
    let end = jobs.iter().chain(&instances).map(|(second, _)| *second).max().unwrap_or(0) + 1;
    let area = SVGBackend::with_string(image, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(SIZE.1 / 2);
    let causes = Cause::ALL.map(|cause| cause.to_string());
    let causes: Vec<_> = causes.iter().map(String::as_str).zip(CAUSE_COLORS).collect();
    draw_stacks(&upper, "late jobs, by second of submission", end, &jobs, &causes)?;
    let parts: Vec<_> = PoolUse::PARTS.into_iter().zip(USE_COLORS).collect();
    draw_stacks(&lower, "instances in pools", end, &instances, &parts)?;
    area.present()?;
    Ok(())
}

fn draw_stacks(
    area: &DrawingArea<SVGBackend, plotters::coord::Shift>,
    title: &str,
    end: u64,
    stacks: &[Stack],
    series: &[(&str, RGBColor)],
) -> Result<(), Box<dyn std::error::Error>> {
    let highest = stacks.iter().map(|(_, values)| values.iter().sum()).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .margin(20)
        .caption(title, ("sans-serif", 16))
        .x_label_area_size(35)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end as f64, 0.0..highest * 1.05)?;
    chart.configure_mesh().disable_x_mesh().x_desc("seconds").draw()?;
    for (position, (name, color)) in series.iter().enumerate() {
        let color = *color;
        let used = stacks.iter().filter(|(_, values)| values[position] > 0.0);
        let bars = used.map(|(second, values)| {
            let below: f64 = values[..position].iter().sum();
            let corners =
                [(*second as f64, below), (*second as f64 + 1.0, below + values[position])];
            Rectangle::new(corners, color.filled())
        });
        let bars: Vec<_> = bars.collect();
        if bars.is_empty() {
            continue;
        }
        let key = move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled());
        chart.draw_series(bars)?.label(*name).legend(key);
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    Ok(())
}
