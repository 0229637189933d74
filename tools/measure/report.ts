/** Values of one measure of one workload under each policy. */
export interface Row {
  readonly deployment: string
  readonly workload: string
  readonly measure: string
  readonly roundRobin: number
  readonly leastOutstanding: number
  readonly ours: number
}

const PLOTTED_MEASURES = ['whole session p95 ms', 'short request p99 ms', 'model call p99 ms']
const COLOURS = ['#999999', '#5b8db8', '#c9622f']
const BAR = { height: 12, gap: 2, left: 330, width: 520 }

/** Formats rows as a plain-text table. */
export function formatTable (rows: readonly Row[], seeds: readonly number[]): string {
  const lines = [
    `seeds ${seeds.join(', ')}; ratio = ours / least outstanding`,
    ['deployment'.padEnd(13), 'workload'.padEnd(18), 'measure'.padEnd(36), 'round robin', 'least outst.', '       ours', '  ratio'].join(' ')
  ]
  for (const row of rows) {
    lines.push([
      row.deployment.padEnd(13), row.workload.padEnd(18), row.measure.padEnd(36), formatCell(row.roundRobin), ` ${formatCell(row.leastOutstanding)}`, formatCell(row.ours),
      row.leastOutstanding === 0 ? '      -' : (row.ours / row.leastOutstanding).toFixed(2).padStart(7)
    ].join(' '))
  }
  return `${lines.join('\n')}\n`
}

/** Formats the latencies as a self-contained SVG bar chart; the bars of a group are scaled to the longest one. */
export function formatSvg (rows: readonly Row[]): string {
  const plotted = rows.filter(row => PLOTTED_MEASURES.includes(row.measure))
  const groupHeight = 3 * (BAR.height + BAR.gap) + 10
  const groups = plotted.map((row, index) => formatGroup(row, 40 + index * groupHeight))
  const height = 60 + plotted.length * groupHeight
  return `<svg xmlns="http://www.w3.org/2000/svg" width="960" height="${height}" font-family="sans-serif" font-size="11">` +
    '<rect width="100%" height="100%" fill="white"/>' +
    '<text x="10" y="20" font-size="14">Milliseconds: round robin (grey), least outstanding (blue), ours (orange)</text>' +
    `${groups.join('')}</svg>\n`
}

function formatGroup (row: Row, top: number): string {
  const values = [row.roundRobin, row.leastOutstanding, row.ours]
  const longest = Math.max(...values, 1)
  const bars = values.map((value, index) => {
    const y = top + index * (BAR.height + BAR.gap)
    const width = BAR.width * value / longest
    return `<rect x="${BAR.left}" y="${y}" width="${width.toFixed(1)}" height="${BAR.height}" fill="${COLOURS[index]!}"/>` +
      `<text x="${(BAR.left + width + 4).toFixed(1)}" y="${y + 10}">${Math.round(value)}</text>`
  })
  return `<text x="10" y="${top + 24}">${row.deployment}, ${row.workload}: ${row.measure}</text>${bars.join('')}`
}

function formatCell (value: number): string {
  return (Math.abs(value) >= 100 ? value.toFixed(0) : value.toFixed(1)).padStart(11)
}
