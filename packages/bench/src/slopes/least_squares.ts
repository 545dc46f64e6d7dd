/** A straight line through points. */

/** `y = intercept + slope * x`, and the largest distance of a point from it. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
  readonly largestResidual: number;
}

/** A pair of values. */
export type Pair = readonly [x: number, y: number];

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Fits by least squares; all points at one x give a slope of 0. */
export function fitLine(points: readonly Pair[]): Line {
  const centreX = mean(points.map(([x]) => x));
  const centreY = mean(points.map(([, y]) => y));
  let products = 0;
  let squares = 0;
  for (const [x, y] of points) {
    products += (x - centreX) * (y - centreY);
    squares += (x - centreX) ** 2;
  }
  const slope = squares === 0 ? 0 : products / squares;
  const intercept = centreY - slope * centreX;
  const residuals = points.map(([x, y]) => Math.abs(y - intercept - slope * x));
  return {slope, intercept, largestResidual: Math.max(...residuals)};
}
