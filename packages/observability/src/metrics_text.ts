/** Parses the Prometheus text format. Does no input or output. */
import type {Labels} from './metrics_registry';

/** One value of a metrics text. */
export interface MetricSample {
  readonly name: string;
  readonly labels: Labels;
  readonly value: number;
}

/** Name, labels in braces, value, and optionally a time stamp. */
const SAMPLE_LINE =
  /^([a-zA-Z_:][\w:]*)\s*(?:\{((?:"(?:\\.|[^"\\])*"|[^"}])*)\})?\s+(\S+)(?:\s+-?\d+)?$/;
const LABEL = /\s*([a-zA-Z_]\w*)\s*=\s*"((?:\\.|[^"\\])*)"\s*(?:,|$)/y;
const SPECIAL_VALUES: ReadonlyMap<string, number> = new Map([
  ['+Inf', Infinity],
  ['Inf', Infinity],
  ['-Inf', -Infinity],
  ['NaN', NaN],
]);

function unescapeLabel(value: string): string {
  return value.replaceAll(/\\(.)/g, (unused, character: string) =>
    character === 'n' ? '\n' : character,
  );
}

/** Labels of the text between the braces; undefined if it is malformed. */
function parseLabels(text: string): Labels | undefined {
  const labels: Record<string, string> = {};
  LABEL.lastIndex = 0;
  while (LABEL.lastIndex < text.trimEnd().length) {
    const match = LABEL.exec(text);
    if (match === null) {
      return undefined;
    }
    const [, name = '', value = ''] = match;
    labels[name] = unescapeLabel(value);
  }
  return labels;
}

function parseValue(text: string): number | undefined {
  const value = SPECIAL_VALUES.get(text) ?? Number(text);
  return Number.isNaN(value) && text !== 'NaN' ? undefined : value;
}

function parseLine(line: string): MetricSample | undefined {
  const [, name, labelText = '', valueText = ''] = SAMPLE_LINE.exec(line) ?? [];
  const labels = parseLabels(labelText);
  const value = parseValue(valueText);
  return name === undefined || labels === undefined || value === undefined
    ? undefined
    : {name, labels, value};
}

/**
 * Returns the samples in the order of the text. Comments, and lines that are
 * not samples, are left out.
 */
export function parseMetrics(text: string): MetricSample[] {
  return text
    .split('\n')
    .map(line => parseLine(line.trim()))
    .filter(sample => sample !== undefined);
}
