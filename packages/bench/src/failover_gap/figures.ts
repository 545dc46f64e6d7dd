/** Figures of repeated measurements: least, median, greatest. */

/** Samples of one kind, milliseconds. */
export interface Figure {
  readonly kind: string;
  readonly samples: readonly number[];
  /** Greatest acceptable median and maximum, where one is set. */
  readonly goal?: {readonly median?: number; readonly maximum: number};
}

/** A figure in short. */
export interface FigureSummary {
  readonly kind: string;
  readonly runs: number;
  readonly minimum: number;
  readonly median: number;
  readonly maximum: number;
  /** Absent without a goal. */
  readonly met?: boolean;
}

const KIND_WIDTH = 46;
const NUMBER_WIDTH = 9;

/** The median; NaN without samples. */
export function median(samples: readonly number[]): number {
  const sorted = [...samples].sort((left, right) => left - right);
  const middle = sorted.length >> 1;
  const upper = sorted[middle] ?? NaN;
  const lower = sorted[middle - 1] ?? NaN;
  return sorted.length % 2 === 0 ? (lower + upper) / 2 : upper;
}

/** Sums a figure up. */
export function summarize({kind, samples, goal}: Figure): FigureSummary {
  const summary = {
    kind,
    runs: samples.length,
    minimum: Math.round(Math.min(...samples)),
    median: Math.round(median(samples)),
    maximum: Math.round(Math.max(...samples)),
  };
  if (goal === undefined) {
    return summary;
  }
  const met =
    summary.median <= (goal.median ?? goal.maximum) &&
    summary.maximum <= goal.maximum;
  return {...summary, met};
}

function verdict({met}: FigureSummary): string {
  if (met === undefined) {
    return '-';
  }
  return met ? 'met' : 'not met';
}

/** A text table of summaries. */
export function renderTable(summaries: readonly FigureSummary[]): string {
  const head = ['runs', 'minimum', 'median', 'maximum', 'goal'];
  const rows = summaries.map(summary => {
    const {kind, runs, minimum, median, maximum} = summary;
    return [kind, runs, minimum, median, maximum, verdict(summary)];
  });
  return [['milliseconds', ...head], ...rows]
    .map(([kind, ...cells]) => {
      const padded = cells.map(cell => String(cell).padStart(NUMBER_WIDTH));
      return String(kind).padEnd(KIND_WIDTH) + padded.join('');
    })
    .join('\n');
}
