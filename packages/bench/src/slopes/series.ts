/**
 * Series of measured points and fitted lines, as text tables and JSON lines. The
 * slope of a line is the growth of a cost per unit of load or size.
 */
import {fitLine} from './least_squares';

/** Measured values by name at one size. */
export interface Point {
  readonly size: number;
  readonly values: Readonly<Record<string, number>>;
}

/** Points of one role at increasing sizes. */
export interface Series {
  readonly role: string;
  /** The quantity that the size counts, for example `groups`. */
  readonly variable: string;
  readonly points: readonly Point[];
}

/**
 * Measures each size after an unmeasured run of the smallest one, which warms up
 * the compiler and frees the garbage of the previous series.
 */
export function measureAfterWarmUp(
  sizes: readonly number[],
  measure: (size: number) => Point,
): Point[] {
  const [smallest] = sizes;
  if (smallest !== undefined) {
    measure(smallest);
  }
  return sizes.map(measure);
}

const COLUMN_WIDTH = 14;

function format(value: number): string {
  const digits = Math.abs(value) >= 100 ? 0 : 3;
  return value.toFixed(digits).padStart(COLUMN_WIDTH);
}

function valueNames({points}: Series): string[] {
  return Object.keys(points[0]?.values ?? {});
}

/** Fits a line to each measured value. */
export function fitLines(series: Series) {
  return valueNames(series).map(name => ({
    name,
    ...fitLine(
      series.points.map(({size, values}) => [size, values[name] ?? NaN]),
    ),
  }));
}

/** Formats the points, then slope, intercept and residual of each column. */
export function formatSeries(series: Series): string {
  const lines = fitLines(series);
  const row = (head: string, cells: readonly string[]) =>
    [head.padEnd(COLUMN_WIDTH), ...cells].join(' ');
  return [
    `${series.role} (per ${series.variable})`,
    row(
      series.variable,
      lines.map(({name}) => name.slice(-COLUMN_WIDTH).padStart(COLUMN_WIDTH)),
    ),
    ...series.points.map(({size, values}) =>
      row(
        String(size),
        lines.map(({name}) => format(values[name] ?? NaN)),
      ),
    ),
    row(
      'slope',
      lines.map(({slope}) => format(slope)),
    ),
    row(
      'intercept',
      lines.map(({intercept}) => format(intercept)),
    ),
    row(
      'residual',
      lines.map(({largestResidual}) => format(largestResidual)),
    ),
    '',
  ].join('\n');
}

/** Returns a JSON line for each point and for each fitted line. */
export function seriesAsJsonLines(series: Series): string[] {
  const {role, variable} = series;
  return [
    ...series.points.map(point => JSON.stringify({role, variable, ...point})),
    ...fitLines(series).map(line => JSON.stringify({role, variable, ...line})),
  ];
}
