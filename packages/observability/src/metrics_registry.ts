/**
 * Counters, gauges and latency summaries, rendered in the Prometheus text
 * format. Handles can be kept, so that counting is a single addition.
 */
// Imported directly: the main module creates log formatters at each start.
import Histogram from 'hdr-histogram-js/dist/Int32Histogram';

/** Label values by label name. */
export type Labels = Readonly<Record<string, string>>;

/** A number that only increases. */
export interface Counter {
  add(amount?: number): void;
  value(): number;
}

/** A distribution of durations. */
export interface Summary {
  /** Records a duration in milliseconds. */
  record(milliseconds: number): void;
  count(): number;
  /** Returns the duration in milliseconds at a percentile from 0 to 100. */
  percentile(percentage: number): number;
}

/** A value of a gauge, read when the metrics are rendered. */
export interface GaugeSample {
  readonly labels: Labels;
  readonly value: number;
}

/** Metrics by name and labels. Equal name and labels give the same handle. */
export interface MetricsRegistry {
  counter(name: string, help: string, labels?: Labels): Counter;
  summary(name: string, help: string, labels?: Labels): Summary;
  /** Sets the function that reads the values of a gauge. */
  gauge(name: string, help: string, read: () => readonly GaugeSample[]): void;
  /** Renders the text that `/metrics` returns. */
  render(): string;
}

interface Family {
  readonly type: 'counter' | 'gauge' | 'summary';
  readonly help: string;
  readonly series: Map<string, () => string[]>;
}

const MICROSECONDS_PER_MILLISECOND = 1000;
const MILLISECONDS_PER_SECOND = 1000;
const SHORTEST_DURATION_MICROSECONDS = 1;
const LONGEST_DURATION_MICROSECONDS = 120_000_000;
const SIGNIFICANT_DIGITS = 2;
const PERCENTILES = [
  {percentage: 50, quantile: '0.5'},
  {percentage: 90, quantile: '0.9'},
  {percentage: 99, quantile: '0.99'},
  {percentage: 99.9, quantile: '0.999'},
];

function escapeLabel(value: string): string {
  return value
    .replaceAll('\\', '\\\\')
    .replaceAll('"', '\\"')
    .replaceAll('\n', '\\n');
}

function renderLabels(labels: Labels): string {
  const pairs = Object.entries(labels).map(
    ([name, value]) => `${name}="${escapeLabel(value)}"`,
  );
  return pairs.length === 0 ? '' : `{${pairs.join(',')}}`;
}

function createCounter(): Counter {
  let total = 0;
  return {
    add: (amount = 1) => {
      total += amount;
    },
    value: () => total,
  };
}

function createSummary(): Summary & {sumMilliseconds(): number} {
  const histogram = new Histogram(
    SHORTEST_DURATION_MICROSECONDS,
    LONGEST_DURATION_MICROSECONDS,
    SIGNIFICANT_DIGITS,
  );
  let sum = 0;
  return {
    record(milliseconds) {
      const microseconds = Math.round(
        milliseconds * MICROSECONDS_PER_MILLISECOND,
      );
      sum += milliseconds;
      histogram.recordValue(
        Math.min(
          Math.max(microseconds, SHORTEST_DURATION_MICROSECONDS),
          LONGEST_DURATION_MICROSECONDS,
        ),
      );
    },
    count: () => histogram.totalCount,
    percentile: percentage =>
      histogram.getValueAtPercentile(percentage) / MICROSECONDS_PER_MILLISECOND,
    sumMilliseconds: () => sum,
  };
}

function renderSummary(
  name: string,
  labels: Labels,
  summary: ReturnType<typeof createSummary>,
): string[] {
  const quantiles = PERCENTILES.map(({percentage, quantile}) => {
    const seconds = summary.percentile(percentage) / MILLISECONDS_PER_SECOND;
    return `${name}${renderLabels({...labels, quantile})} ${seconds}`;
  });
  const suffix = renderLabels(labels);
  const sum = summary.sumMilliseconds() / MILLISECONDS_PER_SECOND;
  return [
    ...quantiles,
    `${name}_sum${suffix} ${sum}`,
    `${name}_count${suffix} ${summary.count()}`,
  ];
}

/** Creates a registry without metrics. */
export function createMetricsRegistry(): MetricsRegistry {
  const families = new Map<string, Family>();
  const handles = new Map<string, Counter | Summary>();

  function getOrCreateFamily(
    name: string,
    type: Family['type'],
    help: string,
  ): Family {
    const existing = families.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const created: Family = {type, help, series: new Map()};
    families.set(name, created);
    return created;
  }

  function counter(name: string, help: string, labels: Labels = {}): Counter {
    const key = name + renderLabels(labels);
    const existing = handles.get(key);
    if (existing !== undefined) {
      return existing as Counter;
    }
    const created = createCounter();
    handles.set(key, created);
    getOrCreateFamily(name, 'counter', help).series.set(key, () => [
      `${key} ${created.value()}`,
    ]);
    return created;
  }

  function summary(name: string, help: string, labels: Labels = {}): Summary {
    const key = name + renderLabels(labels);
    const existing = handles.get(key);
    if (existing !== undefined) {
      return existing as Summary;
    }
    const created = createSummary();
    handles.set(key, created);
    getOrCreateFamily(name, 'summary', help).series.set(key, () =>
      renderSummary(name, labels, created),
    );
    return created;
  }

  function gauge(
    name: string,
    help: string,
    read: () => readonly GaugeSample[],
  ): void {
    getOrCreateFamily(name, 'gauge', help).series.set(name, () =>
      read().map(
        sample => `${name}${renderLabels(sample.labels)} ${sample.value}`,
      ),
    );
  }

  function renderFamily([name, {type, help, series}]: [string, Family]) {
    return [
      `# HELP ${name} ${help}`,
      `# TYPE ${name} ${type}`,
      ...[...series.values()].flatMap(render => render()),
    ];
  }

  return {
    counter,
    summary,
    gauge,
    render: () => [...families].flatMap(renderFamily).join('\n') + '\n',
  };
}
