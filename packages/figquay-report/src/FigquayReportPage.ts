/** Writes the burn report as text and as a page that needs nothing from the network. */
import { BURN_BUCKET_MS, type BurnBucket, type BurnRow } from './FigquayReportBurn.js'
import { formatTable } from './FigquayReportTable.js'

/** A burn report with the counts behind it. */
export interface BurnReport {
  readonly madeAt: string
  /** Daemons whose counts are in the report, and those that did not answer. */
  readonly daemons: readonly string[]
  readonly missing: readonly string[]
  readonly rows: readonly BurnRow[]
  readonly buckets: readonly BurnBucket[]
}

const PERCENT = 100

function formatPercent (part: number): string {
  return `${(part * PERCENT).toFixed(1)}%`
}

/**
 * Writes a report for a terminal.
 *
 * @example
 * console.log(formatBurnText(report))
 */
export function formatBurnText (report: BurnReport): string {
  const header = ['customer', 'kind', 'requests', 'attained', 'objective', 'burn 5m', 'burn 1h', 'state']
  const lines = report.rows.map((row) => [
    row.customer, row.kind, String(row.total), formatPercent(row.attainment), formatPercent(row.objective),
    row.fastBurn.toFixed(2), row.slowBurn.toFixed(2), row.state
  ])
  const missing = report.missing.length === 0 ? '' : `\nwithout ${report.missing.join(', ')}, which did not answer`
  return `${formatTable(header, lines)}\n\nfrom ${report.daemons.length} daemons at ${report.madeAt}${missing}`
}

const PLOT_WIDTH = 640
const PLOT_HEIGHT = 90
const PLOTTED_BUCKETS = 60

function escapeHtml (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;')
}

/** Bars of requests within contract and missed, one for each bucket of time. */
function drawPlot (buckets: readonly BurnBucket[], endMs: number): string {
  const firstMs = Math.floor(endMs / BURN_BUCKET_MS) * BURN_BUCKET_MS - (PLOTTED_BUCKETS - 1) * BURN_BUCKET_MS
  const columns = Array.from({ length: PLOTTED_BUCKETS }, (_, index) => {
    const inColumn = buckets.filter((bucket) => bucket.startMs === firstMs + index * BURN_BUCKET_MS)
    return { met: inColumn.reduce((sum, bucket) => sum + bucket.met, 0), total: inColumn.reduce((sum, bucket) => sum + bucket.total, 0) }
  })
  const highest = Math.max(1, ...columns.map((column) => column.total))
  const step = PLOT_WIDTH / PLOTTED_BUCKETS
  const bars = columns.map((column, index) => {
    const metHeight = column.met / highest * PLOT_HEIGHT
    const missedHeight = (column.total - column.met) / highest * PLOT_HEIGHT
    const x = (index * step).toFixed(1)
    const width = (step - 2).toFixed(1)
    return `<rect class="met" x="${x}" y="${(PLOT_HEIGHT - metHeight).toFixed(1)}" width="${width}" height="${metHeight.toFixed(1)}"/>` +
      `<rect class="missed" x="${x}" y="${(PLOT_HEIGHT - metHeight - missedHeight).toFixed(1)}" width="${width}" height="${missedHeight.toFixed(1)}"/>`
  })
  return `<svg viewBox="0 0 ${PLOT_WIDTH} ${PLOT_HEIGHT + 18}" role="img" aria-label="requests in the last 10 minutes">` +
    `<line x1="0" y1="${PLOT_HEIGHT}" x2="${PLOT_WIDTH}" y2="${PLOT_HEIGHT}"/>${bars.join('')}` +
    `<text x="0" y="${PLOT_HEIGHT + 14}">10 min ago</text><text x="${PLOT_WIDTH}" y="${PLOT_HEIGHT + 14}" text-anchor="end">now · tallest bar ${highest} requests</text></svg>`
}

function drawRow (row: BurnRow, report: BurnReport): string {
  const buckets = report.buckets.filter((bucket) => bucket.customer === row.customer && bucket.kind === row.kind)
  return `<section><h2>${escapeHtml(row.customer)} · ${escapeHtml(row.kind)} <span class="${row.state}">${row.state}</span></h2>` +
    `<dl><dt>attained</dt><dd>${formatPercent(row.attainment)} of ${row.total}</dd><dt>objective</dt><dd>${formatPercent(row.objective)}</dd>` +
    `<dt>burn, 5 min</dt><dd>${row.fastBurn.toFixed(2)}</dd><dt>burn, 1 h</dt><dd>${row.slowBurn.toFixed(2)}</dd></dl>` +
    `${drawPlot(buckets, Date.parse(report.madeAt))}</section>`
}

const STYLE = `body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:44rem;padding:0 1rem;color:#1c2733;background:#fff}
h1{font-size:1.5rem}h2{font-size:1.05rem;margin:0 0 .4rem}section{border-top:1px solid #d8dee6;padding:1rem 0}
dl{display:flex;flex-wrap:wrap;gap:0 .6rem;white-space:nowrap;margin:0 0 .6rem;font-size:.9rem}dt{color:#5b6b7c}dd{margin:0 1rem 0 0;font-variant-numeric:tabular-nums}
svg{width:100%;height:auto}.met{fill:#2f7d5b}.missed{fill:#c4432b}line{stroke:#9aa8b6}text{font-size:11px;fill:#5b6b7c}
span{font-size:.8rem;padding:.1rem .5rem;border-radius:1rem;color:#fff}.ok{background:#2f7d5b}.warning{background:#a86a00}.critical{background:#c4432b}`

/**
 * Writes a report as one HTML page with plots.
 *
 * @example
 * await writeFile('burn.html', formatBurnHtml(report))
 */
export function formatBurnHtml (report: BurnReport): string {
  const missing = report.missing.length === 0 ? '' : ` Without ${escapeHtml(report.missing.join(', '))}, which did not answer.`
  const sections = report.rows.map((row) => drawRow(row, report)).join('\n')
  return `<!doctype html><html lang="en"><meta charset="utf-8"><meta name="viewport" content="width=device-width,initial-scale=1"><title>figquay: service-level burn</title>
<style>${STYLE}</style><h1>Service-level burn</h1>
<p>From ${report.daemons.length} daemons at ${escapeHtml(report.madeAt)}.${missing} A burn of 1 spends the error budget exactly over its period; warning from 3 and critical from 14.4 in both windows. Green bars are requests answered within contract, red ones were missed.</p>
${sections.length > 0 ? sections : '<p>No requests in the last hour.</p>'}</html>
`
}
