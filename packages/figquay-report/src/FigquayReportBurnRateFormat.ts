/** Formats the burn-rate report as text and as a self-contained HTML page. */
import { BURN_RATE_BUCKET_MS, type BurnRateBucket, type BurnRateRow } from './FigquayReportBurnRate.js'
import { formatTable } from './FigquayReportTable.js'

/** Burn-rate report with the counts from which it was calculated. */
export interface BurnRateReport {
  readonly madeAt: string
  /** Daemons whose counts are included. */
  readonly daemons: readonly string[]
  /** Daemons that did not respond. */
  readonly missing: readonly string[]
  readonly rows: readonly BurnRateRow[]
  readonly buckets: readonly BurnRateBucket[]
}

const PERCENT = 100

function formatPercent (ratio: number): string {
  return `${(ratio * PERCENT).toFixed(1)}%`
}

/**
 * Formats a report for a terminal.
 *
 * @example
 * console.log(formatBurnRateText(report))
 */
export function formatBurnRateText (report: BurnRateReport): string {
  const header = ['customer', 'kind', 'requests', 'attained', 'objective', 'burn 5m', 'burn 1h', 'state']
  const tableRows = report.rows.map((row) => [
    row.customer, row.kind, String(row.total), formatPercent(row.attainment), formatPercent(row.objective),
    row.fastBurn.toFixed(2), row.slowBurn.toFixed(2), row.state
  ])
  const missingNote = report.missing.length === 0 ? '' : `\nno answer from ${report.missing.join(', ')}`
  return `${formatTable(header, tableRows)}\n\nfrom ${report.daemons.length} daemons at ${report.madeAt}${missingNote}`
}

const PLOT_WIDTH = 640
const PLOT_HEIGHT = 90
const PLOT_BUCKET_COUNT = 60

function escapeHtml (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;')
}

/** Renders a bar chart with the met and missed requests of each time bucket. */
function renderPlot (buckets: readonly BurnRateBucket[], endMs: number): string {
  const firstMs = Math.floor(endMs / BURN_RATE_BUCKET_MS) * BURN_RATE_BUCKET_MS - (PLOT_BUCKET_COUNT - 1) * BURN_RATE_BUCKET_MS
  const columns = Array.from({ length: PLOT_BUCKET_COUNT }, (_, index) => {
    const columnBuckets = buckets.filter((bucket) => bucket.startMs === firstMs + index * BURN_RATE_BUCKET_MS)
    return { met: columnBuckets.reduce((sum, bucket) => sum + bucket.met, 0), total: columnBuckets.reduce((sum, bucket) => sum + bucket.total, 0) }
  })
  const maxTotal = Math.max(1, ...columns.map((column) => column.total))
  const barPitch = PLOT_WIDTH / PLOT_BUCKET_COUNT
  const bars = columns.map((column, index) => {
    const metHeight = column.met / maxTotal * PLOT_HEIGHT
    const missedHeight = (column.total - column.met) / maxTotal * PLOT_HEIGHT
    const x = (index * barPitch).toFixed(1)
    const width = (barPitch - 2).toFixed(1)
    return `<rect class="met" x="${x}" y="${(PLOT_HEIGHT - metHeight).toFixed(1)}" width="${width}" height="${metHeight.toFixed(1)}"/>` +
      `<rect class="missed" x="${x}" y="${(PLOT_HEIGHT - metHeight - missedHeight).toFixed(1)}" width="${width}" height="${missedHeight.toFixed(1)}"/>`
  })
  return `<svg viewBox="0 0 ${PLOT_WIDTH} ${PLOT_HEIGHT + 18}" role="img" aria-label="requests in the last 10 minutes">` +
    `<line x1="0" y1="${PLOT_HEIGHT}" x2="${PLOT_WIDTH}" y2="${PLOT_HEIGHT}"/>${bars.join('')}` +
    `<text x="0" y="${PLOT_HEIGHT + 14}">10 min ago</text><text x="${PLOT_WIDTH}" y="${PLOT_HEIGHT + 14}" text-anchor="end">now · tallest bar ${maxTotal} requests</text></svg>`
}

function renderSection (row: BurnRateRow, report: BurnRateReport): string {
  const buckets = report.buckets.filter((bucket) => bucket.customer === row.customer && bucket.kind === row.kind)
  return `<section><h2>${escapeHtml(row.customer)} · ${escapeHtml(row.kind)} <span class="${row.state}">${row.state}</span></h2>` +
    `<dl><dt>attained</dt><dd>${formatPercent(row.attainment)} of ${row.total}</dd><dt>objective</dt><dd>${formatPercent(row.objective)}</dd>` +
    `<dt>burn, 5 min</dt><dd>${row.fastBurn.toFixed(2)}</dd><dt>burn, 1 h</dt><dd>${row.slowBurn.toFixed(2)}</dd></dl>` +
    `${renderPlot(buckets, Date.parse(report.madeAt))}</section>`
}

const STYLE = `body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:44rem;padding:0 1rem;color:#1c2733;background:#fff}
h1{font-size:1.5rem}h2{font-size:1.05rem;margin:0 0 .4rem}section{border-top:1px solid #d8dee6;padding:1rem 0}
dl{display:flex;flex-wrap:wrap;gap:0 .6rem;white-space:nowrap;margin:0 0 .6rem;font-size:.9rem}dt{color:#5b6b7c}dd{margin:0 1rem 0 0;font-variant-numeric:tabular-nums}
svg{width:100%;height:auto}.met{fill:#2f7d5b}.missed{fill:#c4432b}line{stroke:#9aa8b6}text{font-size:11px;fill:#5b6b7c}
span{font-size:.8rem;padding:.1rem .5rem;border-radius:1rem;color:#fff}.ok{background:#2f7d5b}.warning{background:#a86a00}.critical{background:#c4432b}`

/**
 * Formats a report as one HTML page with bar charts.
 *
 * @example
 * await writeFile('burn.html', formatBurnRateHtml(report))
 */
export function formatBurnRateHtml (report: BurnRateReport): string {
  const missingNote = report.missing.length === 0 ? '' : ` Without ${escapeHtml(report.missing.join(', '))}, which did not answer.`
  const sections = report.rows.map((row) => renderSection(row, report)).join('\n')
  return `<!doctype html><html lang="en"><meta charset="utf-8"><meta name="viewport" content="width=device-width,initial-scale=1"><title>figquay: service-level burn</title>
<style>${STYLE}</style><h1>Service-level burn</h1>
<p>From ${report.daemons.length} daemons at ${escapeHtml(report.madeAt)}.${missingNote} A burn of 1 spends the error budget exactly over its period; warning from 3 and critical from 14.4 in both windows. Green bars are requests answered within contract, red ones were missed.</p>
${sections.length > 0 ? sections : '<p>No requests in the last hour.</p>'}</html>
`
}
