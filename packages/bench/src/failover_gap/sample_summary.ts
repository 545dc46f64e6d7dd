/** Summaries of repeated measurements: minimum, median and maximum. */

/** Samples of one kind, in milliseconds. */
export interface SampleSet {
  readonly kind: string;
  readonly samples: readonly number[];
  /** Highest acceptable median and maximum. */
  readonly goal?: {readonly median?: number; readonly maximum: number};
}

/** Summary of a sample set, in milliseconds. */
export interface SampleSummary {
  readonly kind: string;
  readonly runs: number;
  readonly minimum: number;
  readonly median: number;
  readonly maximum: number;
  /** Whether the goal is met; absent without a goal. */
  readonly met?: boolean;
}

const KIND_WIDTH = 46;
const NUMBER_WIDTH = 9;

/** Returns the median, NaN without samples. */
export function median(samples: readonly number[]): number {
  const sorted = [...samples].sort((left, right) => left - right);
  const middle = sorted.length >> 1;
  const upper = sorted[middle] ?? NaN;
  const lower = sorted[middle - 1] ?? NaN;
  return sorted.length % 2 === 0 ? (lower + upper) / 2 : upper;
}

/** Summarizes a sample set; values are rounded to milliseconds. */
export function summarize({kind, samples, goal}: SampleSet): SampleSummary {
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

function formatGoal({met}: SampleSummary): string {
  if (met === undefined) {
    return '-';
  }
  return met ? 'met' : 'not met';
}

/** Formats summaries as a text table. */
export function renderTable(summaries: readonly SampleSummary[]): string {
  const head = ['runs', 'minimum', 'median', 'maximum', 'goal'];
  const rows = summaries.map(summary => {
    const {kind, runs, minimum, median, maximum} = summary;
    return [kind, runs, minimum, median, maximum, formatGoal(summary)];
  });
  return [['milliseconds', ...head], ...rows]
    .map(([kind, ...cells]) => {
      const padded = cells.map(cell => String(cell).padStart(NUMBER_WIDTH));
      return String(kind).padEnd(KIND_WIDTH) + padded.join('');
    })
    .join('\n');
}
