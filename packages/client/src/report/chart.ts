/** A named row of values for a bar chart. */
export interface Bar {
    readonly label: string;
    /** Parts of the bar from left to right; `series` selects colour and legend. */
    readonly parts: readonly { readonly series: string; readonly value: number; }[];
}

/** A point of a scatter chart. */
export interface Point {
    readonly x: number;
    readonly y: number;
    readonly series: string;
}

// Okabe and Ito's palette, which stays distinct for colour-blind readers.
const palette = ["#0072b2", "#e69f00", "#009e73", "#cc79a7", "#d55e00", "#56b4e9", "#f0e442", "#000000"];
const width = 760;
const labelWidth = 190;
const barHeight = 22;
const chartHeight = 300;
const margin = 50;

/** Escapes text for HTML and SVG. */
export function escapeText(text: string): string {
    return text.replace(/&/g, "&amp;").replace(/</g, "&lt;").replace(/>/g, "&gt;").replace(/"/g, "&quot;");
}

/** Draws horizontal stacked bars with a legend. */
export function drawBars(title: string, unit: string, bars: readonly Bar[]): string {
    const series = [...new Set(bars.flatMap(bar => bar.parts.map(part => part.series)))];
    const totals = bars.map(bar => bar.parts.reduce((sum, part) => sum + part.value, 0));
    const scale = (width - labelWidth - 90) / Math.max(1e-9, ...totals);
    const rows = bars.map((bar, index) =>
        drawBar(bar, { y: 10 + index * (barHeight + 6), scale, series, total: totals[index] ?? 0 })
    );
    const height = 20 + bars.length * (barHeight + 6);
    return figure(title, `${unit}`, height, rows.join(""), series);
}

function drawBar(
    bar: Bar,
    place: { readonly y: number; readonly scale: number; readonly series: readonly string[]; readonly total: number; },
): string {
    let x = labelWidth;
    const middle = place.y + barHeight / 2 + 4;
    const parts = bar.parts.map(part => {
        const partWidth = part.value * place.scale;
        const tip = `<title>${escapeText(part.series)}: ${formatNumber(part.value)}</title>`;
        const drawn = `<rect x="${round(x)}" y="${place.y}" width="${round(partWidth)}" height="${barHeight}" ` +
            `fill="${colour(place.series, part.series)}">${tip}</rect>`;
        x += partWidth;
        return drawn;
    });
    const label = `<text x="${labelWidth - 8}" y="${middle}" text-anchor="end">${escapeText(bar.label)}</text>`;
    return `${label}${parts.join("")}<text x="${round(x + 6)}" y="${middle}">${formatNumber(place.total)}</text>`;
}

/** Draws points over time with vertical marks for events. */
export function drawPoints(
    title: string,
    unit: string,
    points: readonly Point[],
    marks: readonly { readonly x: number; readonly text: string; }[],
): string {
    const series = [...new Set(points.map(point => point.series))];
    const xMaximum = Math.max(1, ...points.map(point => point.x), ...marks.map(mark => mark.x));
    const yMaximum = Math.max(1, ...points.map(point => point.y));
    const toX = (x: number): number => round(margin + x / xMaximum * (width - 2 * margin));
    const toY = (y: number): number => round(chartHeight - margin - y / yMaximum * (chartHeight - 2 * margin));
    const dots = points.map(point =>
        `<circle cx="${toX(point.x)}" cy="${toY(point.y)}" r="3" fill="${colour(series, point.series)}" fill-opacity="0.7">` +
        `<title>${escapeText(point.series)}: ${formatNumber(point.y)} at ${formatNumber(point.x)} s</title></circle>`
    );
    const lines = marks.map((mark, index) =>
        `<line x1="${toX(mark.x)}" x2="${toX(mark.x)}" y1="${margin}" y2="${
            chartHeight - margin
        }" stroke="#888" stroke-dasharray="4 3"/>` +
        `<text x="${toX(mark.x) + 4}" y="${margin - 34 + 12 * (index % 3)}" class="small">${escapeText(mark.text)}</text>`
    );
    const axes = drawAxes(toX, toY, xMaximum, yMaximum);
    return figure(title, unit, chartHeight, `${axes}${lines.join("")}${dots.join("")}`, series);
}

function drawAxes(toX: (x: number) => number, toY: (y: number) => number, xMaximum: number, yMaximum: number): string {
    const steps = [0, 0.25, 0.5, 0.75, 1];
    const horizontal = steps.map(step =>
        `<line x1="${margin}" x2="${width - margin}" y1="${toY(step * yMaximum)}" y2="${toY(step * yMaximum)}" stroke="#ddd"/>` +
        `<text x="${margin - 6}" y="${toY(step * yMaximum) + 4}" text-anchor="end" class="small">${
            formatNumber(step * yMaximum)
        }</text>`
    );
    const vertical = steps.map(step =>
        `<text x="${toX(step * xMaximum)}" y="${chartHeight - margin + 16}" text-anchor="middle" class="small">${
            formatNumber(step * xMaximum)
        } s</text>`
    );
    return horizontal.join("") + vertical.join("");
}

function figure(title: string, unit: string, height: number, content: string, series: readonly string[]): string {
    const legend = series.map(name => `<span><i style="background:${colour(series, name)}"></i>${escapeText(name)}</span>`).join(
        "",
    );
    return `<figure><figcaption>${escapeText(title)} <small>${escapeText(unit)}</small></figcaption>` +
        `<svg viewBox="0 0 ${width} ${height}" role="img" aria-label="${escapeText(title)}">${content}</svg>` +
        `<div class="legend">${legend}</div></figure>`;
}

function colour(series: readonly string[], name: string): string {
    return palette[series.indexOf(name) % palette.length] ?? "#000000";
}

function round(value: number): number {
    return Math.round(value * 10) / 10;
}

function formatNumber(value: number): string {
    return value >= 100 || Number.isInteger(value) ? Math.round(value).toString() : value.toFixed(1);
}
