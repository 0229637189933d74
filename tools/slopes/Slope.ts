/** Value measured at one size. */
export interface Point {
  readonly size: number
  readonly value: number
}

/** Values measured at several sizes. */
export interface Slope {
  readonly name: string
  /** Unit of the size, such as `streams`. */
  readonly sizeUnit: string
  /** Unit of the value, such as `ms CPU`. */
  readonly valueUnit: string
  readonly points: readonly Point[]
}

/** Fits a line to points by least squares; returns its slope and intercept. */
export function fitLine (points: readonly Point[]): { perSize: number, intercept: number } {
  const count = points.length
  const meanSize = points.reduce((sum, point) => sum + point.size, 0) / count
  const meanValue = points.reduce((sum, point) => sum + point.value, 0) / count
  let covariance = 0
  let variance = 0
  for (const { size, value } of points) {
    covariance += (size - meanSize) * (value - meanValue)
    variance += (size - meanSize) ** 2
  }
  const perSize = variance === 0 ? 0 : covariance / variance
  return { perSize, intercept: meanValue - perSize * meanSize }
}

/** Formats a slope as one line of text. */
export function formatSlope (slope: Slope): string {
  const { perSize, intercept } = fitLine(slope.points)
  const points = slope.points.map(point => `${point.size}: ${format(point.value)}`).join(', ')
  return `${slope.name}: ${format(perSize)} ${slope.valueUnit} per ${slope.sizeUnit}, base ${format(intercept)} (${points})`
}

function format (value: number): string {
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3)
}
