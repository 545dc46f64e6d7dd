/** Series of points and their lines, as text table and as JSON lines. */
import {fitLine} from './least_squares';

/** Measured values by name, at one size. */
export interface Point {
  readonly size: number;
  readonly values: Readonly<Record<string, number>>;
}

/** Points of one role over a growing size. */
export interface Series {
  readonly role: string;
  /** What the size counts, for example `groups`. */
  readonly variable: string;
  readonly points: readonly Point[];
}

/**
 * Measures each size after a run of the smallest that doesn't count: it warms
 * the compiler and frees what the series before has left.
 */
export function measureWarm(
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

function namesOf({points}: Series): string[] {
  return Object.keys(points[0]?.values ?? {});
}

/** A line for each value that is measured. */
export function linesOf(series: Series) {
  return namesOf(series).map(name => ({
    name,
    ...fitLine(
      series.points.map(({size, values}) => [size, values[name] ?? NaN]),
    ),
  }));
}

/** The points, then slope, intercept and largest residual of each column. */
export function formatSeries(series: Series): string {
  const lines = linesOf(series);
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

/** A JSON line for each point and for each line. */
export function seriesAsJsonLines(series: Series): string[] {
  const {role, variable} = series;
  return [
    ...series.points.map(point => JSON.stringify({role, variable, ...point})),
    ...linesOf(series).map(line => JSON.stringify({role, variable, ...line})),
  ];
}
