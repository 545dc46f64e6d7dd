/** Linear regression by least squares. */

/** The line `y = intercept + slope * x` and the largest residual in `y`. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  readonly largestResidual: number;
}

/** A point of the regression. */
export type Pair = readonly [x: number, y: number];

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Fits a line; the slope is 0 if all points have the same `x`. */
export function fitLine(points: readonly Pair[]): Line {
  const meanX = mean(points.map(([x]) => x));
  const meanY = mean(points.map(([, y]) => y));
  let products = 0;
  let squares = 0;
  for (const [x, y] of points) {
    products += (x - meanX) * (y - meanY);
    squares += (x - meanX) ** 2;
  }
  const slope = squares === 0 ? 0 : products / squares;
  const intercept = meanY - slope * meanX;
  const residuals = points.map(([x, y]) => Math.abs(y - intercept - slope * x));
  return {slope, intercept, largestResidual: Math.max(...residuals)};
}
